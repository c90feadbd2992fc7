"""A gate with a target that never answers, and the entry's end of a link."""

from cyclamenlift.gate.admission import AdmissionRequest
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import null_scheduler
from tests.runtime.builders import platform_like_dialect

SECOND = 1_000_000


class SilentTarget:
    """A target client that accepts requests and never answers."""

    def __init__(self):
        self.requests = []
        self.listeners = []
        self.bodies = []
        self.looks = 0
        self.sent = True
        self.connected = False

    def request(self, request, listener):
        self.requests.append(request)
        self.listeners.append(listener)
        return self

    def probe_listener(self, _deadline):
        self.looks += 1

    def has_connections(self) -> bool:
        return self.connected

    def close_idle(self):
        """Do nothing: there are no connections."""

    def send_body(self, data, _last):
        self.bodies.append(data)

    def cancel(self):
        """Do nothing."""


class NoTimer:
    """A timer that never fires."""

    def cancel(self) -> None:
        """Do nothing."""


class GateBench:
    """A gate that can query its target, and the entry's end of a link."""

    def __init__(self, can_query: bool = True):
        self.queries = 0
        self.can_query = can_query
        self.target = SilentTarget()
        self.gate = Gate(
            null_scheduler(),
            self.target,
            'prices',
            8,
            platform_like_dialect(),
        )
        self.gate.announce(Announcement('i-1', 'prices', 8))
        self.gate.set_target_state(TargetState.READY)
        self.gate.pace_queries.send_query = self.count_query
        self.entry_end, self.gate_end = local_link_pair(iter(range(1, 9)))
        self.outcomes = []
        for kind in (Refused, Cancelled, Broken, AnswerStart):
            self.entry_end.subscribe(
                kind, lambda _link, message: self.outcomes.append(message)
            )
        self.credits = []
        self.entry_end.subscribe(
            Credit, lambda _link, credit: self.credits.append(credit)
        )
        self.entry_end.subscribe(LoadNews, lambda _link, _news: None)

    def count_query(self) -> bool:
        self.queries += 1
        return self.can_query

    def report_pace(self, pace: int) -> None:
        self.gate.reports.note_answer([('x-load', f'0,0,8,{pace}')], 0.0)

    def send_call(
        self,
        number: int = 1,
        most: int = 0,
        length: int = 0,
        fingerprint: bytes = b'',
    ) -> None:
        start = CallStart(
            call_id=number,
            service_name='prices',
            method='GET',
            path='/',
            headers=[],
            time_left_us=6 * SECOND,
            body_length=length,
            body=b'',
            body_complete=not length,
            idempotent=not length,
            depth=0,
            trace_id=f'c-{number}',
            rank=0,
            objective_left_us=2 * SECOND,
            route_name='look-up',
            most_pace_percent=most,
            fingerprint=fingerprint,
        )
        self.gate.on_call_start(self.gate_end, start)


def look_up(
    key, now: float, objective: float, deadline: float
) -> AdmissionRequest:
    """Return a request for a look-up at ``now``; times are relative to it."""
    return AdmissionRequest(
        key,
        now + deadline,
        now + objective,
        route='look-up',
        objective=objective,
    )
