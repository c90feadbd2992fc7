"""Requests that terminate targets, with entry and gates on sockets."""

import json

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from tests.runtime.builders import answer
from tests.runtime.builders import EndingTarget
from tests.runtime.builders import PathBed
from tests.runtime.builders import raw
from tests.runtime.builders import ScriptedTarget
from tests.runtime.builders import SlowlyEndingTarget

BAD = '/bad'
# Seconds from closing a target's connections to closing its listener on a
# busy machine.
SLOW_END = 0.02


@pytest.fixture
def bed():
    beds = []

    def make(*targets, **fields):
        addresses = [target.address for target in targets]
        beds.append(PathBed(*addresses, **fields))
        return beds[-1]

    yield make
    for each in beds:
        each.close()


def ended(targets) -> int:
    return sum(target.ended for target in targets)


def test_one_attempt_ends_two_targets_at_most(bed):
    targets = [EndingTarget(BAD) for _ in range(4)]
    path = bed(*targets, max_tries=4)
    found = path.ask(path=BAD)
    assert found.status == 502
    assert json.loads(found.body)['run'] == 'unknown'
    assert ended(targets) <= 2


def test_what_is_kept_away_is_refused_at_once_and_others_are_served(bed):
    targets = [EndingTarget(BAD) for _ in range(4)]
    path = bed(*targets, max_tries=4)
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


def test_a_booking_that_ends_targets_keeps_its_promises(bed):
    """Outcomes are unknown until the quarantine, then "not run"."""
    targets = [EndingTarget(BAD) for _ in range(4)]
    path = bed(*targets)
    for number in range(2):
        found = path.ask('POST', BAD, b'{}', Idempotency_Key=f'k{number}')
        assert found.result == ResultCode.TARGET_ENDED
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k2')
    assert found.result == ResultCode.REQUEST_QUARANTINED
    assert ended(targets) == 2
    endings = [e.ending for e in path.claims.ends]
    assert endings == [ClaimEnding.UNKNOWN] * 2 + [ClaimEnding.RELEASED]


def test_a_target_that_ends_takes_connections_a_moment_longer(bed):
    """A terminating process closes its sockets one after the other."""
    path = bed(*(SlowlyEndingTarget(BAD) for _ in range(4)))
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_ENDED


def test_a_target_that_ends_slowly_is_not_taken_for_one_that_runs(bed):
    """Guards against a termination reported as a mere disconnect."""
    path = bed(*(SlowlyEndingTarget(BAD, SLOW_END) for _ in range(4)))
    found = path.ask('POST', BAD, b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_ENDED


def test_a_target_that_only_breaks_off_accuses_nobody(bed):
    targets = [ScriptedTarget(raw(b'')) for _ in range(3)]
    path = bed(*targets)
    for _ in range(4):
        found = path.ask(path=BAD)
        assert found.result == ResultCode.TARGET_BROKE_OFF
    assert path.calls.quarantine.evidence.reports == {}


def test_a_target_that_is_back_gets_calls_again(bed):
    """Guards against a gate that still refuses after its target returned."""
    target = EndingTarget('/none')
    path = bed(target)
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
