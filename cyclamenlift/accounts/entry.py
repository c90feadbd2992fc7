"""What an entry decides on a call of an account: pass, ask first or refuse.

Pure logic; callers pass the time in.
"""

import dataclasses
import math

from cyclamenlift.accounts.demand import RateMeter
from cyclamenlift.accounts.messages import ASK
from cyclamenlift.accounts.messages import Decision
from cyclamenlift.accounts.messages import Grant
from cyclamenlift.accounts.messages import LimitTolerance
from cyclamenlift.accounts.messages import PASS
from cyclamenlift.accounts.messages import Passage
from cyclamenlift.accounts.messages import Use
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.spaced_returns import SpacedReturns
from cyclamenlift.core.token_bucket import TokenBucket
from cyclamenlift.models.accounts import AccountRule

# A grant covers the calls expected in this time and lapses after twice as
# long, in seconds.
GRANT_SECONDS = 0.2
# Calls that all entries together may let pass before the home has answered
# for them, in bursts; each entry has an even part, or the least. Further ones
# need a grant.
UNANSWERED_BURSTS = 2.0
MIN_UNANSWERED = 2.0
# How long an entry stays in doubt before it asks for the account again, in
# seconds: no shorter than a late home is waited for.
DOUBT_SECONDS = 1.0
# An account that has not been used for so long is forgotten, in seconds.
FORGET_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class EntryAccount:
    """One account at this entry; all times are instants.

    ``unreported`` counts calls that the home has not been told of,
    ``unanswered`` those that it was told of and has not answered for.
    ``waiting`` counts the calls that wait for the home's answer. ``doubt`` is
    the bucket of what may be used while no home answers; ``denied_at`` is when
    the home granted less than was wanted.
    """

    doubt: TokenBucket
    meter: RateMeter = dataclasses.field(default_factory=RateMeter)
    returns: SpacedReturns = dataclasses.field(default_factory=SpacedReturns)
    unreported: int = 0
    unanswered: int = 0
    turned_away: int = 0
    waiting: int = 0
    granted: int = 0
    grant_until: float = -math.inf
    tight_until: float = -math.inf
    refused_until: float = -math.inf
    doubt_until: float = -math.inf
    denied_at: float = -math.inf
    calls_per_second: float = 0.0
    told_at: float = 0.0
    used_at: float = -math.inf
    passed: int = 0
    refused: int = 0
    refused_in_doubt: int = 0


class EntryState:
    """The accounts with limits whose calls arrive at this entry."""

    def __init__(self, tolerance: LimitTolerance):
        self.tolerance = tolerance
        self.entries = 1
        self.accounts: dict[str, EntryAccount] = {}
        # The accounts of which a home should hear with the next report.
        self.due: set[str] = set()
        self.forgotten_at = -math.inf

    # -- commands ---------------------------------------------------------

    def set_entries(self, entries: int) -> None:
        """Set how many entries share each limit, with this one."""
        self.entries = max(1, entries)

    def decide(self, rule: AccountRule, now: float) -> Decision:
        """Decide on a new call; PASS also counts it."""
        if not rule.calls_per_second:
            return PASS
        account = self.find(rule.name, now)
        self.due.add(rule.name)
        account.used_at = now
        account.meter.note(1.0, now)
        if now < account.doubt_until:
            return self.decide_in_doubt(rule, account, now)
        if now >= account.tight_until:
            return self.decide_untight(rule, account)
        if account.granted and now < account.grant_until:
            account.granted -= 1
            return self.let_pass(account)
        if now < account.refused_until:
            return self.refuse(account, account.refused_until - now, now)
        account.waiting += 1
        return ASK

    def decide_untight(
        self, rule: AccountRule, account: EntryAccount
    ) -> Decision:
        """Let a call pass unless too many are unreported already."""
        burst = rule.burst_calls + self.tolerance.jitter_calls
        part = UNANSWERED_BURSTS * burst / self.entries
        unanswered = account.unreported + account.unanswered
        if unanswered >= max(MIN_UNANSWERED, part):
            account.waiting += 1
            return ASK
        account.unreported += 1
        return self.let_pass(account)

    def decide_in_doubt(
        self, rule: AccountRule, account: EntryAccount, now: float
    ) -> Decision:
        """Use only this entry's even part, which nobody else can be using.

        Nothing where the account was at its limit within the last window.
        """
        depth = rule.burst_calls / self.entries
        account.doubt.set_rate(
            rule.calls_per_second / self.entries, max(1.0, depth), now
        )
        denied = now - account.denied_at < self.tolerance.window_seconds
        if not denied and account.doubt.take(now):
            account.unreported += 1
            return self.let_pass(account)
        account.refused_in_doubt += 1
        wait = min(DOUBT_SECONDS, account.doubt.wait(now))
        account.turned_away += 1
        basis = (
            f'no home answers, {account.doubt.rate:.2f}/s of '
            f'{rule.calls_per_second:g}/s for one of {self.entries} entries'
        )
        code = ResultCode.ACCOUNT_IN_DOUBT
        return Decision(Passage.REFUSE, code, wait, basis)

    def apply_grant(self, grant: Grant, answered: bool, now: float) -> int:
        """Apply what the home said; return how many waiting calls may pass.

        ``answered`` tells that it is the answer to a report. Calls that wait
        beyond the returned number are refused if the home named a time to
        wait; else they came after the report, and the next one asks for them.
        """
        account = self.find(grant.account, now)
        account.used_at = now
        account.calls_per_second = grant.calls_per_second
        account.told_at = now
        if not answered:
            account.tight_until = max(
                account.tight_until, now + grant.tight_seconds
            )
            return 0
        account.tight_until = now + grant.tight_seconds
        account.doubt_until = -math.inf
        passing = min(account.waiting, grant.granted)
        account.passed += passing
        account.waiting -= passing
        self.return_grant(account)
        account.granted = grant.granted - passing
        if account.granted:
            self.due.add(grant.account)
        account.unanswered = 0
        account.grant_until = now + 2.0 * GRANT_SECONDS
        account.refused_until = now + grant.wait_seconds
        if grant.wait_seconds:
            account.denied_at = now
        return passing

    def refuse_waiting(self, name: str, now: float) -> Decision:
        """Refuse a waiting call for which the home granted nothing."""
        account = self.accounts[name]
        account.waiting -= 1
        return self.refuse(account, account.refused_until - now, now)

    def enter_doubt(self, name: str, now: float) -> None:
        """Record that no home answers for an account.

        Until one does, calls pass by the doubt, or ask again after it.
        """
        account = self.accounts.get(name)
        if account is not None:
            account.doubt_until = now + DOUBT_SECONDS
            account.tight_until = math.inf

    def decide_waiting_in_doubt(
        self, rule: AccountRule, now: float
    ) -> Decision:
        """Decide on a waiting call for which no home answers."""
        account = self.find(rule.name, now)
        account.waiting = max(0, account.waiting - 1)
        return self.decide_in_doubt(rule, account, now)

    def withdraw(self, name: str) -> None:
        """Forget a waiting call that was given up."""
        account = self.accounts.get(name)
        if account is not None:
            account.waiting = max(0, account.waiting - 1)

    def give_back(self, name: str, now: float) -> None:
        """Count a call back that has not run."""
        account = self.accounts.get(name)
        if account is not None:
            self.due.add(name)
            account.unreported -= 1
            account.used_at = now

    def restore(self, use: Use) -> None:
        """Count the calls of a report again that nobody acknowledged."""
        account = self.accounts.get(use.account)
        if account is not None:
            self.due.add(use.account)
            account.unreported += use.used
            account.unanswered = 0

    def take_due(self, now: float) -> list[str]:
        """Return the accounts to report; those with a grant stay due."""
        names = list(self.due)
        self.due = {
            name
            for name in names
            if self.accounts[name].granted
            and now < self.accounts[name].grant_until
        }
        return names

    def take_use(self, name: str, now: float) -> Use | None:
        """Return what the home should hear of an account, None if nothing."""
        account = self.accounts[name]
        if now >= account.grant_until:
            self.return_grant(account)
        wanted = 0
        if account.waiting:
            expected = account.meter.current(now) * GRANT_SECONDS
            wanted = max(account.waiting, int(expected))
        used, account.unreported = account.unreported, 0
        account.unanswered = max(0, used)
        turned_away, account.turned_away = account.turned_away, 0
        if not (used or wanted or turned_away):
            return None
        return Use(name, used, wanted, turned_away)

    def forget_unused(self, now: float) -> None:
        """Forget the accounts that have been idle for long."""
        if now - self.forgotten_at < FORGET_SECONDS / 10.0:
            return
        self.forgotten_at = now
        idle = [
            name
            for name, account in self.accounts.items()
            if now - account.used_at > FORGET_SECONDS and name not in self.due
        ]
        for name in idle:
            del self.accounts[name]

    # -- steps ------------------------------------------------------------

    def find(self, name: str, now: float) -> EntryAccount:
        account = self.accounts.get(name)
        if account is None:
            account = EntryAccount(TokenBucket(0.0, 1.0, now))
            self.accounts[name] = account
        return account

    def return_grant(self, account: EntryAccount) -> None:
        """Give back what is left of a grant."""
        account.unreported -= account.granted
        account.granted = 0

    def let_pass(self, account: EntryAccount) -> Decision:
        account.passed += 1
        return PASS

    def refuse(
        self, account: EntryAccount, wait: float, now: float
    ) -> Decision:
        """Refuse a call, with a time at which there may be room for it."""
        account.refused += 1
        account.turned_away += 1
        rate = account.calls_per_second
        gap = 1.0 / rate if rate else wait
        spaced = account.returns.wait(now, max(0.0, wait), gap)
        age_ms = int((now - account.told_at) * MILLISECONDS)
        basis = f'{rate:.2f}/s for this entry, told {age_ms} ms ago'
        code = ResultCode.ACCOUNT_LIMITED
        return Decision(Passage.REFUSE, code, spaced, basis)
