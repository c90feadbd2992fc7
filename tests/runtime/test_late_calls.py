"""A gate and calls that were delayed in transit.

Bodies saturate the link of a gate's instance, so calls behind them arrive
after their deadlines.
"""

import pytest

from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import Hello
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import null_scheduler

MICROSECONDS = 1_000_000


class RecordingClient:
    """A target client that records requests."""

    def __init__(self):
        self.requests = []

    def request(self, request, _listener):
        self.requests.append(request)
        return self

    pending = 0

    def send_body(self, _data, _last) -> None:
        """Ignore the body."""


@pytest.fixture
def gate():
    made = Gate(null_scheduler(), RecordingClient(), 'prices', 4)
    made.set_target_state(TargetState.READY)
    return made


def start(number: int, age: float, left: float, **fields) -> CallStart:
    """Return a call sent ``age`` seconds ago with ``left`` seconds left."""
    return CallStart(
        call_id=number,
        service_name='prices',
        method='GET',
        path='/p',
        headers=[],
        time_left_us=int(left * MICROSECONDS),
        body=b'',
        body_length=0,
        body_complete=True,
        trace_id=str(number),
        sent_at_us=int((seconds_since_boot() - age) * MICROSECONDS),
        **fields,
    )


def test_call_arriving_after_its_deadline_is_not_run(gate):
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    refused = []
    entry_end.subscribe(
        Refused, lambda _link, message: refused.append(message)
    )
    gate.on_call_start(gate_end, start(1, age=0.0, left=5.0))
    gate.on_call_start(gate_end, start(2, age=2.0, left=1.5))
    assert [r.call_id for r in refused] == [2]
    assert refused[0].code == ResultCode.DEADLINE_NOT_RUN
    assert refused[0].load.lag_ms == pytest.approx(2000, abs=100)
    assert len(gate.client.requests) == 1


def test_time_sent_to_the_target_excludes_the_transit(gate):
    _entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    gate.on_call_start(gate_end, start(1, age=0.0, left=5.0))
    gate.on_call_start(gate_end, start(2, age=2.0, left=5.0))
    told = [
        int(dict(request.headers)['cyclamenlift-timeout-ms'])
        for request in gate.client.requests
    ]
    assert told == pytest.approx([5000, 3000], abs=100)


def test_gate_reports_the_transfer_time_of_pending_bodies(gate):
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    entry_end.subscribe(Credit, lambda _link, _message: None)
    gate.link_rate = 500_000.0
    upload = start(1, age=0.0, left=5.0)
    upload.body_complete = False
    upload.body_length = 60_000
    gate.on_call_start(gate_end, upload)
    assert gate.figures().body_wait_ms == 0
    gate_end.hello = Hello('entry', 'bole', 2, 'c')
    assert gate.figures().body_wait_ms == 120
    gate.on_body_chunk(gate_end, BodyChunk(1, bytes(50_000), False))
    assert gate.figures().body_wait_ms == 20
