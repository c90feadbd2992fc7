"""What an instance knows of client accounts, for operators."""

import collections
from collections.abc import Iterable
import dataclasses
import typing

from cyclamenlift.core.metrics import Reading

if typing.TYPE_CHECKING:
    from cyclamenlift.accounts.tasks import AccountLimits

# Accounts that metrics name; all others count as one.
NAMED_ACCOUNTS = 10
OTHERS = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRow:
    """An account at one instance; rates in calls a second.

    Counts are of calls that arrived at this entry since its start. The fields
    from ``home`` on are known where this instance is the home of the account
    in its data centre.
    """

    account: str
    calls_per_second: float
    burst_calls: float
    rank: int | None
    passed: int
    refused: int
    refused_in_doubt: int
    in_doubt: bool
    tight: bool
    home: bool
    part: float
    saved_up: float
    demanded: float


def account_rows(limits: 'AccountLimits', name: str = '') -> list[AccountRow]:
    """Return the accounts in use here, or just the one that is named."""
    now = limits.now()
    known = {*limits.entry.accounts, *limits.home.accounts}
    names = {name} & {*known, *limits.rules} if name else known
    return [account_row(limits, found, now) for found in sorted(names)]


def account_row(limits: 'AccountLimits', name: str, now: float) -> AccountRow:
    """Return what is known of one account here."""
    rule = limits.rules.get(name)
    entry = limits.entry.accounts.get(name)
    home = limits.home.accounts.get(name)
    return AccountRow(
        account=name,
        calls_per_second=rule.calls_per_second if rule else 0.0,
        burst_calls=rule.burst_calls if rule else 0.0,
        rank=rule.rank if rule else None,
        passed=entry.passed if entry else 0,
        refused=entry.refused if entry else 0,
        refused_in_doubt=entry.refused_in_doubt if entry else 0,
        in_doubt=bool(entry and now < entry.doubt_until),
        tight=bool(entry and now < entry.tight_until),
        home=home is not None,
        part=round(home.part, 3) if home else 0.0,
        saved_up=round(home.bucket.fill(now), 1) if home else 0.0,
        demanded=round(home.meter.current(now), 2) if home else 0.0,
    )


def passed_readings(limits: 'AccountLimits') -> list[Reading]:
    """Return the calls that passed, by account."""
    counts = {n: a.passed for n, a in limits.entry.accounts.items()}
    return top_readings(counts)


def refused_readings(limits: 'AccountLimits') -> list[Reading]:
    """Return the calls that limits refused, by account."""
    counts = {
        name: account.refused + account.refused_in_doubt
        for name, account in limits.entry.accounts.items()
    }
    return top_readings(counts)


def top_readings(counts: dict[str, int]) -> list[Reading]:
    """Return a reading for each of the largest counts, one for the others.

    >>> [r.value for r in top_readings({f'a{n}': n for n in range(1, 13)})]
    [12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 3]
    """
    ranked = collections.Counter(counts).most_common()
    readings = [
        Reading(count, {'account': name})
        for name, count in ranked[:NAMED_ACCOUNTS]
    ]
    rest = sum(count for _, count in ranked[NAMED_ACCOUNTS:])
    if rest:
        readings.append(Reading(rest, {'account': OTHERS}))
    return readings


def accounts_in_doubt(limits: 'AccountLimits') -> int:
    """Return for how many accounts no home answers now."""
    now = limits.now()
    accounts: Iterable = limits.entry.accounts.values()
    return sum(now < account.doubt_until for account in accounts)
