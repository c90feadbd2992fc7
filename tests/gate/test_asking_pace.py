"""A gate asks its target for the pace before it begins a call.

The load: a target tells its pace with each answer, two or three times a
second, and a call of 660 ms that begins just after a slow spell has begun
takes 4.6 s. One in ten calls began so with figures up to 120 ms old.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.runtime.local import local_pair
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import quiet_scheduler

SECOND = 1_000_000


class Target:
    """Takes requests and answers none."""

    def __init__(self):
        self.requests = []

    def request(self, request, _listener):
        self.requests.append(request)
        return self

    def send_body(self, _data, _last):
        """Take the body."""

    def cancel(self):
        """Stop."""


class Bench:
    """A gate that can ask its target, and the entry's end of a link."""

    def __init__(self, can_ask: bool = True):
        self.asked = 0
        self.can_ask = can_ask
        self.target = Target()
        self.gate = Gate(
            quiet_scheduler(),
            self.target,
            'prices',
            8,
            platform_like_dialect(),
        )
        self.gate.announce(Announcement('i-1', 'prices', 8))
        self.gate.set_target_state(TargetState.READY)
        self.gate.ask_pace = self.ask
        self.entry_end, self.gate_end = local_pair(iter(range(1, 9)))
        self.told = []
        for kind in (Refused, Cancelled):
            self.entry_end.subscribe(
                kind, lambda _link, message: self.told.append(message)
            )
        self.entry_end.subscribe(LoadNews, lambda _link, _news: None)

    def ask(self) -> bool:
        self.asked += 1
        return self.can_ask

    def tell(self, pace: int) -> None:
        self.gate.note_answer_head([('x-load', f'0,0,8,{pace}')])

    def call(self, number: int = 1, most: int = 0) -> None:
        start = CallStart(
            call_id=number,
            service_name='prices',
            method='GET',
            path='/',
            headers=[],
            time_left_us=6 * SECOND,
            body_length=0,
            body=b'',
            body_complete=True,
            idempotent=True,
            depth=0,
            trace_id=f'c-{number}',
            rank=0,
            objective_left_us=2 * SECOND,
            route_name='look-up',
            most_pace_percent=most,
        )
        self.gate.on_call_start(self.gate_end, start)


def test_a_call_waits_for_the_word_of_its_target():
    bench = Bench()
    bench.call()
    assert bench.asked == 1
    assert bench.target.requests == []
    assert not bench.gate.is_idle()
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_target_in_a_spell_is_not_given_the_call():
    bench = Bench()
    bench.call()
    bench.tell(700)
    assert bench.target.requests == []
    assert len(bench.gate.state.queue) == 1
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_call_that_may_go_elsewhere_goes_back_on_the_word():
    bench = Bench()
    bench.call(most=200)
    bench.tell(700)
    assert [r.code for r in bench.told] == [int(ResultCode.TARGET_SLOW)]
    assert bench.gate.is_idle()


def test_a_fresh_figure_needs_no_question():
    bench = Bench()
    bench.tell(100)
    bench.call()
    assert bench.asked == 0
    assert len(bench.target.requests) == 1


def test_where_nothing_can_be_asked_the_call_begins():
    bench = Bench(can_ask=False)
    bench.call()
    assert len(bench.target.requests) == 1


def test_without_an_answer_the_call_is_decided_on_all_the_same():
    bench = Bench()
    bench.call()
    bench.gate.decide_all()
    assert len(bench.target.requests) == 1


def test_a_call_that_waits_for_the_word_can_be_cancelled_as_not_run():
    bench = Bench()
    bench.call()
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    assert [c.not_run for c in bench.told] == [True]
    bench.tell(100)
    assert bench.target.requests == []
    assert bench.gate.is_idle()


@pytest.mark.parametrize('pace', [100, 700])
def test_a_drain_decides_on_calls_that_wait(pace):
    bench = Bench()
    bench.call()
    bench.gate.drain()
    assert [r.code for r in bench.told] == [int(ResultCode.DRAINING)]
    bench.tell(pace)
    assert bench.target.requests == []
