"""Heartbeats and deregistration of the local target."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.platform.targets import TargetEndpoint
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import quiet_scheduler

BEAT = {
    'service': 'prices',
    'address': '127.0.0.1:80',
    'zone': 'here',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left': '0ms',
    'seq': 4,
}


class Asked:
    """A request that records the status of its answer."""

    method = 'POST'
    remote = Address('127.0.0.1', 9)

    def __init__(self, path: str, body: bytes):
        self.path = path
        self.body = body
        self.body_length = len(body)
        self.status = 0

    def read_body(self, on_body) -> None:
        on_body(self.body, True)

    def respond(self, status, headers, body) -> None:
        self.status = status

    def respond_problem(self, problem) -> None:
        self.status = 400


class Client:
    """A target client without connections."""

    def drop_idle(self) -> None:
        """Do nothing."""


@pytest.fixture
def gate():
    return Gate(
        quiet_scheduler(), Client(), 'prices', 20, platform_like_dialect()
    )


def beat(gate: Gate, name: str = 'i-1', **changes) -> int:
    body = json.dumps({**BEAT, **changes}).encode()
    asked = Asked(f'/v1/Instances.Heartbeat/{name}', body)
    TargetEndpoint(gate, 'prices').handle(asked)
    return asked.status


def leave(gate: Gate, name: str, body: bytes = b'') -> int:
    asked = Asked(f'/v1/Instances.Deregister/{name}', body)
    TargetEndpoint(gate, 'prices').handle(asked)
    return asked.status


def test_a_check_in_opens_the_gate_with_the_targets_slots(gate):
    assert gate.is_unknown()
    assert beat(gate) == 200
    assert gate.state.slots == 6
    assert gate.state.target_state == TargetState.READY


def test_a_drain_is_acknowledged_with_the_gate_closed(gate):
    beat(gate)
    assert beat(gate, state='draining', seq=5) == 200
    assert gate.state.target_state == TargetState.DRAINING


def test_a_farewell_without_a_drain_closes_the_gate(gate):
    beat(gate)
    assert leave(gate, 'i-1') == 200
    assert gate.state.target_state == TargetState.DRAINING


def test_a_new_incarnation_opens_the_gate_again(gate):
    beat(gate)
    leave(gate, 'i-1')
    assert beat(gate, 'i-2', seq=1) == 200
    assert gate.state.target_state == TargetState.READY


def test_a_late_check_in_of_the_old_one_changes_nothing(gate):
    beat(gate)
    beat(gate, 'i-2', seq=1)
    assert beat(gate, 'i-1', seq=5, state='draining') == 200
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
def test_a_wrong_check_in_is_refused_and_changes_nothing(gate, changes):
    assert beat(gate, **changes) == 400
    assert gate.is_unknown()


@pytest.mark.parametrize('missing', sorted(BEAT))
def test_a_check_in_without_one_of_its_fields_names_no_target(gate, missing):
    body = json.dumps({k: v for k, v in BEAT.items() if k != missing})
    asked = Asked('/v1/Instances.Heartbeat/i-1', body.encode())
    TargetEndpoint(gate, 'prices').handle(asked)
    assert asked.status == 400
    assert gate.is_unknown()


def test_a_restart_under_the_same_name_opens_a_draining_gate(gate):
    beat(gate, born=1000)
    beat(gate, born=1000, state='draining', seq=5)
    assert beat(gate, born=2000, seq=1) == 200
    assert gate.state.target_state == TargetState.READY


def test_a_farewell_of_the_life_before_leaves_the_gate_open(gate):
    beat(gate, born=2000, seq=1)
    assert leave(gate, 'i-1', b'{"born":1000}') == 200
    assert gate.state.target_state == TargetState.READY
    assert leave(gate, 'i-1', b'{"born":2000}') == 200
    assert gate.state.target_state == TargetState.DRAINING


@pytest.mark.parametrize(
    'body', [b'{', b'[]', b'\xff\xfe', b'{"born":"1"}', b'{"born":null}']
)
def test_a_farewell_that_cannot_be_read_changes_nothing(gate, body):
    beat(gate)
    assert leave(gate, 'i-1', body) == 400
    assert gate.state.target_state == TargetState.READY


NESTED = b'[' * 8000 + b']' * 8000


@given(
    place=st.integers(0, 200),
    wrong=st.one_of(st.binary(max_size=40), st.just(NESTED)),
)
def test_bytes_of_another_writer_never_change_who_counts(place, wrong):
    gate = Gate(
        quiet_scheduler(), Client(), 'prices', 20, platform_like_dialect()
    )
    beat(gate, born=1000)
    body = json.dumps({**BEAT, 'born': 1000, 'seq': 9}).encode()
    body = body[:place] + wrong + body[place + len(wrong) :]
    asked = Asked('/v1/Instances.Heartbeat/i-1', body)
    TargetEndpoint(gate, 'prices').handle(asked)
    assert asked.status in (200, 400)
    assert gate.registration.incarnation == 'i-1'
    if asked.status == 400:
        assert gate.registration.current.sequence == BEAT['seq']


@pytest.mark.parametrize('body', [b'', b'[]', b'{', b'\xff', b'null'])
def test_an_unreadable_check_in_is_refused(gate, body):
    asked = Asked('/v1/Instances.Heartbeat/i-1', body)
    TargetEndpoint(gate, 'prices').handle(asked)
    assert asked.status == 400


def test_another_path_is_no_check_in(gate):
    asked = Asked('/v1/Something/else', b'{}')
    TargetEndpoint(gate, 'prices').handle(asked)
    assert asked.status == 404


# Guards against a false confirmation: a target of another machine whose
# daemon is gone registers here and is confirmed, though no gate serves it.
def test_targets_of_other_machines_are_not_confirmed(gate):
    gate.target_host = '127.0.0.1'
    assert beat(gate) == 200
    assert beat(gate, 'i-9', address='127.0.0.9:80', seq=9) == 503
    assert gate.registration.incarnation == 'i-1'
    endpoint = TargetEndpoint(gate, 'prices')
    asked = Asked('/v1/Instances.Deregister/i-9', b'')
    asked.remote = Address('127.0.0.9', 1)
    endpoint.handle(asked)
    assert asked.status == 503
    assert gate.state.target_state == TargetState.READY
    assert leave(gate, 'i-1') == 200
