"""A console on an in-memory fake of the control instance."""

import html
import json
import re
from urllib.parse import urlencode

from cyclamenlift.console.pages import ConsolePages
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.publish_report import FieldProblem
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.reports import ControlReport
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import HistoryReport
from cyclamenlift.events.reports import StorageReport
from cyclamenlift.events.state import VersionRecord
from cyclamenlift.http.web import WebServer
from cyclamenlift.models.document import document_from_text
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.replication.queries import InstanceStatus
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from tests.http.builders import Caller
from tests.http.builders import Loop
from tests.http.builders import LOOPBACK
from tests.http.builders import parse_responses
from tests.http.builders import ReceivedResponse
from tests.http.builders import request

DOCUMENT = {
    'event': 'morning',
    'starts_at': '2026-12-02T06:00:00+03:00',
    'ends_at': '2026-12-02T12:00:00+03:00',
    'services': [
        {
            'name': 'price',
            'targets': ['price-*'],
            'operations': [
                {'method': 'POST', 'path': '/bookings/*'},
                {'method': 'PUT', 'path': '/notes', 'idempotent': True},
            ],
        },
        {'name': 'billing', 'data_centres': ['a', 'b']},
    ],
}
INPUT = re.compile(r'<(?:input|select|textarea)[^>]* name="([^"]+)"[^>]*>')
VALUE = re.compile(r' value="([^"]*)"')
SELECTED = re.compile(
    r'<select[^>]* name="([^"]+)">.*?<option(?: value="([^"]*)")? selected>'
    r'([^<]*)',
    re.S,
)


def canonical(value: dict) -> bytes:
    return document_to_bytes(document_from_text(json.dumps(value)).unwrap())


class FakeControl:
    """Keeps versions in memory; ``code`` overrides the publish result."""

    def __init__(self, *documents: dict):
        self.versions = [canonical(value) for value in documents]
        self.published = []
        self.replaced = []
        self.code = ResultCode.CHANGE_ACCEPTED
        self.leader = 'c1'
        self.pending = []

    def publish(self, change, done) -> None:
        self.published.append(change)
        parsed = document_from_text(change.document)
        current = len(self.versions)
        report = PublishReport(
            self.code, 'c1', current_version=current, detail='told'
        )
        if hasattr(parsed, 'failure') and not parsed.value_or(None):
            problems = tuple(
                FieldProblem(p.where, p.detail) for p in parsed.failure()
            )
            report = PublishReport(
                ResultCode.DOCUMENT_INVALID, 'c1', problems=problems
            )
        elif self.code == ResultCode.CHANGE_ACCEPTED:
            self.versions.append(document_to_bytes(parsed.unwrap()))
            report = PublishReport(self.code, 'c1', current + 1, current + 1)
        # The outcome is reported later, as with the replicated log.
        self.pending.append(lambda: done(report))

    def release(self) -> None:
        for answer in self.pending:
            answer()
        self.pending.clear()

    def show(self, version, done) -> None:
        current = len(self.versions)
        wanted = version or current
        known = 0 < wanted <= current
        data = self.versions[wanted - 1].decode() if known else ''
        code = ResultCode.ANSWERED if known else ResultCode.NOT_FOUND
        is_leader = self.leader == 'c1'
        done(DocumentReport(code, 'c1', wanted, current, is_leader, data))

    def history(self, limit, done) -> None:
        records = tuple(
            VersionRecord(n, n - 1, f'id-{n}', '<Ada>', n * 1000, '')
            for n in range(len(self.versions), 0, -1)
        )
        count = len(self.versions)
        done(HistoryReport(ResultCode.ANSWERED, 'c1', count, True, records))

    def status(self, done) -> None:
        instances = (
            InstanceStatus('c1', 's1', 's1', 9, True, True),
            InstanceStatus('c2', 's2b', 's2', 0, False, False),
            InstanceStatus('c3', 's3', 's3', 4, True, False),
        )
        replica = ReplicaStatus(
            'c1',
            Role.LEADER,
            self.leader,
            3,
            9,
            9,
            9,
            5,
            's1',
            True,
            instances,
        )
        done(
            ControlReport(
                ResultCode.ANSWERED,
                'control',
                'c1',
                'a',
                '0.1.0',
                len(self.versions),
                7,
                0,
                replica,
            )
        )

    def replace_storage(self, order, done) -> None:
        self.replaced.append((order.instance, order.storage_id))
        done(StorageReport(ResultCode.STORAGE_REPLACED, 'c1'))


class Console:
    """An event loop that serves the console, and a simple HTTP client."""

    def __init__(self, *documents: dict):
        self.loop = Loop()
        self.control = FakeControl(*documents)
        pages = ConsolePages(self.control)
        self.server = WebServer(self.loop.root, LOOPBACK, [pages])

    def ask(self, data: bytes) -> ReceivedResponse:
        caller = Caller.connect(self.loop, self.server.address)
        caller.send(data)
        self.loop.settle(caller)
        self.control.release()
        caller.until(lambda c: parse_responses(c.received))
        return parse_responses(caller.received)[0]

    def get(self, path: str) -> ReceivedResponse:
        return self.ask(request(f'GET {path} HTTP/1.1'))

    def post(self, path: str, fields: dict, *headers: str) -> ReceivedResponse:
        body = urlencode(fields).encode()
        length = f'Content-Length: {len(body)}'
        line = f'POST {path} HTTP/1.1'
        return self.ask(request(line, length, *headers, body=body))


def fields_of(page: ReceivedResponse) -> dict[str, str]:
    """Return the form fields of a page as a browser would submit them."""
    text = page.body.decode()
    fields = {}
    for match in INPUT.finditer(text):
        value = VALUE.search(match[0])
        fields[match[1]] = html.unescape(value[1]) if value else ''
    for name, value, shown in SELECTED.findall(text):
        fields[name] = html.unescape(value or shown)
    return fields
