"""Heartbeats and deregistration of the local target."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.platform.targets import TargetEndpoint
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import null_scheduler
from tests.runtime.builders import platform_like_dialect

HEARTBEAT = {
    'service': 'prices',
    'address': '127.0.0.1:80',
    'zone': 'here',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left': '0ms',
    'seq': 4,
}


class FakeExchange:
    """A request that records the status of its answer."""

    method = 'POST'
    remote = Address('127.0.0.1', 9)

    def __init__(self, path: str, body: bytes):
        self.path = path
        self.body = body
        self.body_length = len(body)
        self.status = 0
        self.awaited = True

    def is_awaited(self) -> bool:
        return self.awaited

    def read_body(self, on_body) -> None:
        on_body(self.body, True)

    def respond(self, status, headers, body) -> None:
        self.status = status

    def respond_problem(self, problem) -> None:
        self.status = 400


class FakeClient:
    """A target client without connections."""

    def close_idle(self) -> None:
        """Do nothing."""


@pytest.fixture
def gate():
    return Gate(
        null_scheduler(), FakeClient(), 'prices', 20, platform_like_dialect()
    )


def send_heartbeat(gate: Gate, name: str = 'i-1', **changes) -> int:
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    exchange = FakeExchange(f'/v1/Instances.Heartbeat/{name}', body)
    TargetEndpoint(gate, 'prices').handle(exchange)
    return exchange.status


def deregister(
    gate: Gate, name: str, body: bytes = b'', awaited: bool = True
) -> int:
    exchange = FakeExchange(f'/v1/Instances.Deregister/{name}', body)
    exchange.awaited = awaited
    TargetEndpoint(gate, 'prices').handle(exchange)
    return exchange.status


def test_heartbeat_opens_the_gate_with_the_slots_of_the_target(gate):
    assert gate.is_target_unknown()
    assert send_heartbeat(gate) == 200
    assert gate.state.slots == 6
    assert gate.state.target_state == TargetState.READY


def test_a_drain_is_acknowledged_with_the_gate_closed(gate):
    send_heartbeat(gate)
    assert send_heartbeat(gate, state='draining', seq=5) == 200
    assert gate.state.target_state == TargetState.DRAINING


# Guards against a confirmation with an open gate: the clock of the target was
# set back before it started again.
@pytest.mark.parametrize('departs', [False, True])
def test_a_drain_of_a_start_with_an_earlier_clock_closes_the_gate(
    gate, departs
):
    send_heartbeat(gate, born=9000)
    send_heartbeat(gate, born=4000, seq=1)
    assert gate.state.target_state == TargetState.READY
    if departs:
        assert deregister(gate, 'i-1', b'{"born": 4000}') == 200
    else:
        drained = send_heartbeat(gate, born=4000, seq=2, state='draining')
        assert drained == 200
    assert gate.state.target_state == TargetState.DRAINING


def test_deregistration_without_a_drain_closes_the_gate(gate):
    send_heartbeat(gate)
    assert deregister(gate, 'i-1') == 200
    assert gate.state.target_state == TargetState.DRAINING


def test_a_new_incarnation_opens_the_gate_again(gate):
    send_heartbeat(gate)
    deregister(gate, 'i-1')
    assert send_heartbeat(gate, 'i-2', seq=1) == 200
    assert gate.state.target_state == TargetState.READY


def test_late_heartbeat_of_the_old_incarnation_changes_nothing(gate):
    send_heartbeat(gate)
    send_heartbeat(gate, 'i-2', seq=1)
    assert send_heartbeat(gate, 'i-1', seq=5, state='draining') == 200
    assert gate.state.target_state == TargetState.READY
    assert gate.registration.incarnation == 'i-2'


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'another'},
        {'slots': 0},
        {'slots': 'many'},
        {'state': 'tired'},
        {'cold_left': 'soon'},
        {'seq': -1},
        {'seq': None},
        {'slots': '6'},
        {'slots': True},
        {'slots': 6.5},
        {'seq': '6'},
        {'seq': 1.0e30},
        {'born': 1.5},
        {'born': '1700000000000'},
        {'born': True},
        {'born': None},
        {'born': -1},
        {'born': 0},
        {'zone': ''},
        {'zone': 7},
        {'address': 'nowhere'},
        {'address': None},
        {'version': 1},
        {'cold_left': 3},
        {'state': ['ready']},
    ],
)
def test_invalid_heartbeat_is_refused_and_changes_nothing(gate, changes):
    assert send_heartbeat(gate, **changes) == 400
    assert gate.is_target_unknown()


@pytest.mark.parametrize('missing', sorted(HEARTBEAT))
def test_heartbeat_with_a_missing_field_is_refused(gate, missing):
    body = json.dumps({k: v for k, v in HEARTBEAT.items() if k != missing})
    exchange = FakeExchange('/v1/Instances.Heartbeat/i-1', body.encode())
    TargetEndpoint(gate, 'prices').handle(exchange)
    assert exchange.status == 400
    assert gate.is_target_unknown()


def test_a_restart_under_the_same_name_opens_a_draining_gate(gate):
    send_heartbeat(gate, born=1000)
    send_heartbeat(gate, born=1000, state='draining', seq=5)
    assert send_heartbeat(gate, born=2000, seq=1) == 200
    assert gate.state.target_state == TargetState.READY


# Guards against a departure that was delayed and closes the gate for the start
# after it: of a start that was known here, or whose sender waits no more.
@pytest.mark.parametrize('known', [True, False])
def test_deregistration_of_an_earlier_start_leaves_the_gate_open(gate, known):
    if known:
        send_heartbeat(gate, born=1000, seq=1)
    send_heartbeat(gate, born=2000, seq=1)
    body = b'{"born":1000}'
    # What has no effect is confirmed only of a start that has ended.
    status = 200 if known else 503
    assert deregister(gate, 'i-1', body, awaited=known) == status
    assert gate.state.target_state == TargetState.READY
    assert deregister(gate, 'i-1', b'{"born":2000}') == 200
    assert gate.state.target_state == TargetState.DRAINING


# Guards against the departure of a target that lay at a frozen daemon, names
# no start, and is read after the target has started again under its name.
def test_a_departure_that_lay_here_does_not_drain_the_next_start(gate):
    send_heartbeat(gate, born=1000)
    send_heartbeat(gate, born=2000, seq=1)
    assert deregister(gate, 'i-1', awaited=False) == 503
    assert not gate.registration.draining
    assert deregister(gate, 'i-1') == 200
    assert gate.registration.draining


# Guards against a departure that is not believed though its target told it.
@pytest.mark.parametrize('born', [0, 2000])
def test_a_departure_that_can_be_of_this_start_alone_counts(gate, born):
    send_heartbeat(gate, **({'born': born} if born else {}))
    body = b'{"born":%d}' % born if born else b''
    assert deregister(gate, 'i-1', body, awaited=False) == 200
    assert gate.registration.draining


@pytest.mark.parametrize(
    'body', [b'{', b'[]', b'\xff\xfe', b'{"born":"1"}', b'{"born":null}']
)
def test_unparsable_deregistration_changes_nothing(gate, body):
    send_heartbeat(gate)
    assert deregister(gate, 'i-1', body) == 400
    assert gate.state.target_state == TargetState.READY


NESTED = b'[' * 8000 + b']' * 8000


@given(
    place=st.integers(0, 200),
    wrong=st.one_of(st.binary(max_size=40), st.just(NESTED)),
)
def test_corrupt_heartbeat_never_changes_the_incarnation(place, wrong):
    gate = Gate(
        null_scheduler(), FakeClient(), 'prices', 20, platform_like_dialect()
    )
    send_heartbeat(gate, born=1000)
    body = json.dumps({**HEARTBEAT, 'born': 1000, 'seq': 9}).encode()
    body = body[:place] + wrong + body[place + len(wrong) :]
    exchange = FakeExchange('/v1/Instances.Heartbeat/i-1', body)
    TargetEndpoint(gate, 'prices').handle(exchange)
    assert exchange.status in (200, 400)
    assert gate.registration.incarnation == 'i-1'
    if exchange.status == 400:
        assert gate.registration.current.sequence == HEARTBEAT['seq']


@pytest.mark.parametrize('body', [b'', b'[]', b'{', b'\xff', b'null'])
def test_unparsable_heartbeat_is_refused(gate, body):
    exchange = FakeExchange('/v1/Instances.Heartbeat/i-1', body)
    TargetEndpoint(gate, 'prices').handle(exchange)
    assert exchange.status == 400


def test_unknown_path_is_not_found(gate):
    exchange = FakeExchange('/v1/Something/else', b'{}')
    TargetEndpoint(gate, 'prices').handle(exchange)
    assert exchange.status == 404


# Guards against a false confirmation: a target of another machine whose
# daemon is gone registers here and is confirmed, though no gate serves it.
def test_targets_of_other_machines_are_not_confirmed(gate):
    gate.target_host = '127.0.0.1'
    assert send_heartbeat(gate) == 200
    assert send_heartbeat(gate, 'i-9', address='127.0.0.9:80', seq=9) == 503
    assert gate.registration.incarnation == 'i-1'
    endpoint = TargetEndpoint(gate, 'prices')
    exchange = FakeExchange('/v1/Instances.Deregister/i-9', b'')
    exchange.remote = Address('127.0.0.9', 1)
    endpoint.handle(exchange)
    assert exchange.status == 503
    assert gate.state.target_state == TargetState.READY
    assert deregister(gate, 'i-1') == 200
