"""Requests that terminate targets, with entry and gates on sockets."""

import json

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import raw
from tests.runtime.builders import ScriptedTarget
from tests.runtime.builders import SlowlyTerminatingTarget
from tests.runtime.builders import TerminatingTarget

BAD = '/bad'
# Seconds from closing a target's connections to closing its listener on a
# busy machine.
LISTENER_DELAY = 0.02


@pytest.fixture
def make_path():
    created = []

    def make(*targets, **fields):
        addresses = [target.address for target in targets]
        created.append(CallPathHarness(*addresses, **fields))
        return created[-1]

    yield make
    for each in created:
        each.close()


def ended(targets) -> int:
    return sum(target.ended for target in targets)


def test_one_attempt_terminates_at_most_two_targets(make_path):
    targets = [TerminatingTarget(BAD) for _ in range(4)]
    path = make_path(*targets, max_tries=4)
    found = path.ask(path=BAD)
    assert found.status == 502
    assert json.loads(found.body)['run'] == 'unknown'
    assert ended(targets) <= 2


def test_quarantined_request_is_refused_and_others_are_served(make_path):
    targets = [TerminatingTarget(BAD) for _ in range(4)]
    path = make_path(*targets, max_tries=4)
    path.ask(path=BAD)
    path.ask(path=BAD)
    before = ended(targets)
    for _ in range(3):
        found = path.ask(path=BAD)
        assert found.result == ResultCode.REQUEST_QUARANTINED
        assert found.status == 503
        assert json.loads(found.body)['run'] == 'no'
        assert int(found.headers['retry-after']) > 1
    assert ended(targets) == before
    assert {path.ask(path='/good').status for _ in range(6)} == {200}
    assert path.ask(path=BAD, authorization='another').status == 502


def test_booking_that_terminates_targets_reports_its_outcomes(make_path):
    """Outcomes are unknown until the quarantine, then "not run"."""
    targets = [TerminatingTarget(BAD) for _ in range(4)]
    path = make_path(*targets)
    for number in range(2):
        found = path.ask('POST', BAD, b'{}', Idempotency_Key=f'k{number}')
        assert found.result == ResultCode.TARGET_ENDED
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k2')
    assert found.result == ResultCode.REQUEST_QUARANTINED
    assert ended(targets) == 2
    endings = [e.ending for e in path.claims.ends]
    assert endings == [ClaimEnding.UNKNOWN] * 2 + [ClaimEnding.RELEASED]


def test_terminating_target_still_accepts_connections(make_path):
    """A terminating process closes its sockets one after the other."""
    path = make_path(*(SlowlyTerminatingTarget(BAD) for _ in range(4)))
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_ENDED


def test_slowly_terminating_target_is_not_considered_running(make_path):
    """Guards against a termination reported as a mere disconnect."""
    path = make_path(
        *(SlowlyTerminatingTarget(BAD, LISTENER_DELAY) for _ in range(4))
    )
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_ENDED


def test_disconnect_alone_is_no_evidence_for_quarantine(make_path):
    targets = [ScriptedTarget(raw(b'')) for _ in range(3)]
    path = make_path(*targets)
    for _ in range(4):
        found = path.ask(path=BAD)
        assert found.result == ResultCode.TARGET_BROKE_OFF
    assert path.calls.quarantine.history.reports == {}


def test_restarted_target_gets_calls_again(make_path):
    """Guards against a gate that still refuses after its target returned."""
    target = TerminatingTarget('/none')
    path = make_path(target)
    assert path.ask().status == 200
    target.end()
    gate = path.gates[0]
    path.run_until(lambda: path.ask().status == 503)
    assert gate.presence.absent
    found = path.ask()
    assert (found.status, json.loads(found.body)['run']) == (503, 'no')
    back = ScriptedTarget(answer(), address=target.address)
    path.run_until(lambda: not gate.presence.absent)
    assert path.ask().status == 200
    back.close()
