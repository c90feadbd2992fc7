"""Document server, commands and queries over a fake replica."""

import json
import random

import pytest
from returns.result import Failure

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.commands import publish
from cyclamenlift.events.commands import replace_storage
from cyclamenlift.events.queries import history
from cyclamenlift.events.queries import show
from cyclamenlift.events.reports import report_to_json
from cyclamenlift.events.request_models import parse_request_body
from cyclamenlift.events.request_models import Publication
from cyclamenlift.events.request_models import StorageReplacement
from cyclamenlift.events.server import DocumentServer
from cyclamenlift.events.server import MAX_PUSHED_BYTES
from cyclamenlift.events.server import PUSH_FANOUT
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from tests.events.builders import control_context
from tests.events.builders import document
from tests.events.builders import FakeLink
from tests.events.builders import FakeNetwork

TEXT = document('morning').decode()


def publication(change_id='x', base=0, text=TEXT) -> Publication:
    return Publication(document=text, base_version=base, change_id=change_id)


def run(command, context, *arguments):
    """Run a command or query and return its only report."""
    reports = []
    command(context, *arguments, reports.append)
    context.replica.finish_reads()
    (report,) = reports
    return json.loads(report_to_json(report))


def server_of(context, **fields) -> DocumentServer:
    return DocumentServer(
        FakeNetwork(),
        context.replica,
        context.store,
        'a',
        random.Random(1),
        **fields,
    )


def test_publish_show_and_history_share_one_store():
    context = control_context()
    assert run(publish, context, publication())['code'] == 5000
    conflict = run(publish, context, publication('y'))
    assert (conflict['code'], conflict['current_version']) == (5001, 1)
    shown = run(show, context, 0)
    assert shown['confirmed']
    assert json.loads(shown['document'])['event'] == 'morning'
    assert run(show, context, 9)['code'] == ResultCode.NOT_FOUND
    assert run(history, context, 5)['versions'][0]['change_id'] == 'x'


@pytest.mark.parametrize(
    'text, path',
    [
        ('event: [', ''),
        ('{}', 'event'),
        (TEXT.replace('"prices"', '"P!"'), 'services[0].name'),
    ],
)
def test_an_invalid_document_names_the_field_and_has_no_effect(text, path):
    context = control_context()
    report = run(publish, context, publication(text=text))
    assert report['code'] == ResultCode.DOCUMENT_INVALID
    assert path in [problem['path'] for problem in report['problems']]
    assert all(problem['detail'] for problem in report['problems'])
    assert context.store.version == 0
    assert context.replica.index == 0


@pytest.mark.parametrize(
    'leader, failing, code',
    [
        ('b', None, ResultCode.NOT_LEADER),
        ('', None, ResultCode.NOT_LEADER),
        ('a', ResultCode.NOT_LEADER, ResultCode.NOT_LEADER),
        ('a', ResultCode.CHANGE_UNKNOWN, ResultCode.CHANGE_UNKNOWN),
    ],
)
def test_a_change_that_was_not_accepted_reports_code_and_leader(
    leader, failing, code
):
    context = control_context(leader)
    context.replica.failing = failing
    report = run(publish, context, publication())
    assert report['code'] == code
    assert report['leader'] == ('b' if leader == 'b' else '')


@pytest.mark.parametrize(
    'leader, failing, code',
    [
        ('a', None, ResultCode.STORAGE_REPLACED),
        ('b', None, ResultCode.NOT_LEADER),
        ('a', ResultCode.STORAGE_REFUSED, ResultCode.STORAGE_REFUSED),
    ],
)
def test_replacing_a_storage(leader, failing, code):
    context = control_context(leader)
    context.replica.failing = failing
    order = StorageReplacement(instance='b', storage_id='s')
    assert run(replace_storage, context, order)['code'] == code


@pytest.mark.parametrize(
    'body, where',
    [
        (b'', ''),
        (b'[]', ''),
        (b'{"document":"x","base_version":0}', 'change_id'),
        (b'{"document":"x","base_version":-1,"change_id":"a"}', 'base_v'),
        (b'{"document":"x","base_version":0,"change_id":"a","z":1}', 'z'),
    ],
)
def test_an_invalid_request_names_its_field(body, where):
    result = parse_request_body(Publication, body)
    assert isinstance(result, Failure)
    assert result.failure().where.startswith(where)


@pytest.mark.parametrize('query', [show, history])
def test_a_follower_or_an_isolated_leader_confirms_nothing(query):
    follower = control_context(leader='b')
    assert not run(query, follower, 1)['confirmed']
    isolated = control_context()
    reports = []
    query(isolated, 1, reports.append)
    isolated.replica.finish_reads(confirmed=False)
    assert not reports[0].confirmed


@pytest.mark.parametrize('confirmed', [True, False])
def test_the_leader_answers_after_a_majority_read(confirmed):
    context = control_context()
    run(publish, context, publication())
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert link.sent == []
    context.replica.finish_reads(confirmed)
    assert link.sent[0].committed == confirmed
    assert link.sent[0].version == 1


def test_a_request_during_a_read_waits_for_the_next():
    context = control_context()
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    server.on_request(link, DocumentRequest(2, 0))
    server.on_request(link, DocumentRequest(3, 0))
    context.replica.finish_reads()
    assert [answer.request_id for answer in link.sent] == [1]
    context.replica.finish_reads()
    assert [answer.request_id for answer in link.sent] == [1, 2, 3]


def test_a_follower_answers_at_once_unconfirmed():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].committed


def test_a_new_version_is_pushed_to_a_few():
    context = control_context(leader='b')
    server = server_of(context)
    links = [FakeLink(number=number) for number in range(40)]
    for link in links:
        server.on_request(link, DocumentRequest(1, 0))
    context.replica.leader = 'a'
    run(publish, context, publication())
    server.push_version(1)
    pushed = [link for link in links if len(link.sent) == 2]
    assert len(pushed) == PUSH_FANOUT
    assert pushed[0].sent[1].packed_document
    server.on_link_lost(links[0])
    assert len(server.links) == 39


def test_early_requests_are_answered_once_a_leader_is_elected():
    # After a full restart, daemons wait for exactly this answer.
    context = control_context(leader='')
    server = server_of(context)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert [a.committed for a in link.sent] == [False]
    context.replica.elect('a')
    context.replica.finish_reads()
    assert [a.committed for a in link.sent] == [False, True]
    context.replica.elect('a')
    assert not context.replica.barriers


def test_a_follower_with_control_only_addresses_names_no_leader():
    # Regression: a partitioned daemon bypassed the partition over the
    # network that control instances use among themselves.
    context = control_context(leader='b')
    server = server_of(context)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].leader_address


def test_a_follower_names_the_leader_to_earlier_requesters_too():
    context = control_context(leader='')
    server = server_of(context, names_leader=True)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].leader_address
    context.replica.elect('b')
    assert link.sent[1].leader_address == '10.0.0.1:7100'
    server.on_request(link, DocumentRequest(2, 0))
    assert link.sent[2].leader_address == '10.0.0.1:7100'
    assert not any(a.committed for a in link.sent)


def takes_changes(known) -> DocumentRequest:
    return DocumentRequest(1, known, takes_changes=True)


def test_a_requester_that_accepts_changes_gets_the_missing_ones():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, takes_changes(0))
    context.replica.leader = 'a'
    for base in range(3):
        text = document(f'v{base}').decode()
        run(publish, context, publication(f'x{base}', base, text))
        server.push_version(base + 1)
    context.replica.leader = 'b'
    link.sent.clear()
    for known in (0, 1, 2, 3):
        server.on_request(link, takes_changes(known))
    steps = [
        [(c.base_version, c.version) for c in answer.changes]
        for answer in link.sent
    ]
    assert steps == [[(0, 3)], [(1, 2), (2, 3)], [(2, 3)], []]
    assert not any(answer.packed_document for answer in link.sent)


def test_a_version_only_request_gets_no_document():
    context = control_context(leader='b')
    context.replica.leader = 'a'
    run(publish, context, publication())
    context.replica.leader = 'b'
    server, link = server_of(context), FakeLink()
    request = DocumentRequest(1, 0, takes_changes=True, without_document=True)
    server.on_request(link, request)
    (answer,) = link.sent
    assert (answer.version, answer.changes) == (1, [])
    assert not answer.packed_document


def test_small_changes_are_pushed_and_large_ones_only_announced():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, takes_changes(0))
    context.replica.leader = 'a'
    noise = random.Random(1).randbytes(MAX_PUSHED_BYTES).hex()
    texts = [document('one').decode(), document('two').decode()]
    texts.append(texts[1].replace('/sale', f'/{noise}'))
    for base, text in enumerate(texts):
        run(publish, context, publication(f'x{base}', base, text))
        server.push_version(base + 1)
    pushed = [
        (answer.version, len(answer.changes)) for answer in link.sent[1:]
    ]
    assert pushed == [(1, 0), (2, 1), (3, 0)]


def test_a_recreated_store_resets_the_history():
    context = control_context(leader='a')
    run(publish, context, publication())
    server = server_of(context)
    assert server.current_history().version == 1
    context.replica.machine.restore(ControlStateMachine().snapshot())
    assert server.current_history().version == 0
