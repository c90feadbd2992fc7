"""A gate between a target that answers nothing and the end of a link."""

from cyclamenlift.gate.admission import Asking
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
    """Takes requests and answers none."""

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

    def look(self, _deadline):
        self.looks += 1

    def has_connections(self) -> bool:
        return self.connected

    def drop_idle(self):
        """Close nothing."""

    def send_body(self, data, _last):
        self.bodies.append(data)

    def cancel(self):
        """Stop."""


class NoTimer:
    """A timer that runs nothing."""

    def cancel(self) -> None:
        """Cancel nothing."""


class GateBench:
    """A gate that can ask its target, and the entry's end of a link."""

    def __init__(self, can_ask: bool = True):
        self.asked = 0
        self.can_ask = can_ask
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
        self.gate.questions.ask = self.ask
        self.entry_end, self.gate_end = local_link_pair(iter(range(1, 9)))
        self.told = []
        for kind in (Refused, Cancelled, Broken, AnswerStart):
            self.entry_end.subscribe(
                kind, lambda _link, message: self.told.append(message)
            )
        self.credits = []
        self.entry_end.subscribe(
            Credit, lambda _link, credit: self.credits.append(credit)
        )
        self.entry_end.subscribe(LoadNews, lambda _link, _news: None)

    def ask(self) -> bool:
        self.asked += 1
        return self.can_ask

    def tell(self, pace: int) -> None:
        self.gate.note_answer_head([('x-load', f'0,0,8,{pace}')])

    def call(
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


def look_up(key, now: float, objective: float, deadline: float) -> Asking:
    """Return a look-up that comes now; its times count from now, in s."""
    return Asking(
        key,
        now + deadline,
        now + objective,
        route='look-up',
        objective=objective,
    )
