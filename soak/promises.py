"""The promises that a soak checks: pure functions of what was seen."""

import bisect
from collections.abc import Callable

from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.registry import Registry
from soak.records import Record

HOT = 'hot'
TAKEN = 'taken'
STEADY = 'steady'
OK = 200
WINDOW_SECONDS = 5.0
TOLERATED_SHARE = 0.1
# Time in which a key that was taken away must be refused everywhere.
REVOKE_SECONDS = 5.0
# Least share of the calls of an account without a limit that is served once
# all faults are over, and how long it takes until then at most, in seconds.
MIN_SERVED = 0.9
RECOVERY_SECONDS = 15.0
Promise = Callable[[Record], list[str]]
PROMISES: Registry[Promise] = Registry('promise')


@PROMISES.register('limit')
def check_limit(record: Record) -> list[str]:
    """No window has more calls of the limited account than it may."""
    limit = record.limit
    served = sorted(
        o.ended_at
        for o in record.outcomes
        if o.account == HOT and o.status == OK
    )
    calls = limit.calls_per_second * WINDOW_SECONDS + limit.burst_calls
    allowed = (1.0 + TOLERATED_SHARE) * calls + limit.slack_calls
    for index, begin in enumerate(served):
        end = bisect.bisect_left(served, begin + WINDOW_SECONDS)
        if end - index > allowed:
            return [f'{end - index} calls in {WINDOW_SECONDS} s, {allowed}']
    return []


@PROMISES.register('keys')
def check_keys(record: Record) -> list[str]:
    """A key that was taken away serves nobody after its time."""
    if record.taken_at is None:
        return []
    late = [
        o.call_id
        for o in record.outcomes
        if o.account == TAKEN
        and o.status == OK
        and o.sent_at > record.taken_at + REVOKE_SECONDS
    ]
    return [f'served with a key taken away: {name}' for name in late]


@PROMISES.register('at_most_once')
def check_at_most_once(record: Record) -> list[str]:
    """No booking runs twice."""
    return [
        f'{call_id} ran {runs} times'
        for call_id, runs in record.runs.items()
        if runs > 1
    ]


@PROMISES.register('not_run')
def check_not_run(record: Record) -> list[str]:
    """A booking that was answered as not run has not run."""
    return [
        f'{o.call_id} ran, answered {o.status} ({o.code})'
        for o in record.outcomes
        if o.booking and is_not_run(o.code) and record.runs.get(o.call_id)
    ]


@PROMISES.register('whole_answers')
def check_whole_answers(record: Record) -> list[str]:
    """Each success is the whole answer to its own call."""
    return [
        f'{o.call_id} got a part, or the answer of another'
        for o in record.outcomes
        if o.status == OK and not o.whole
    ]


@PROMISES.register('recovery')
def check_recovery(record: Record) -> list[str]:
    """Calls are served again some time after the last fault."""
    after = [
        o.status == OK
        for o in record.outcomes
        if o.account == STEADY
        and o.sent_at > record.calm_at + RECOVERY_SECONDS
    ]
    served = sum(after)
    if after and served < MIN_SERVED * len(after):
        return [f'{served} of {len(after)} served after the last fault']
    return []


def broken_promises(record: Record) -> list[str]:
    """Return what was broken, a line each; empty if all held."""
    return [
        f'{name}: {line}'
        for name in PROMISES
        for line in PROMISES.get(name)(record)
    ]
