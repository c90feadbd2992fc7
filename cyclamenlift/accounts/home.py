"""What the home of an account decides: how much each entry may use.

Each data centre has one home for each account: a daemon that keeps the data
centre's part of the limit in a token bucket. Pure logic; callers pass the
time in.
"""

from collections.abc import Iterable
import dataclasses
import math

from cyclamenlift.accounts.demand import part_of_limit
from cyclamenlift.accounts.demand import RateMeter
from cyclamenlift.accounts.demand import seconds_to_measure
from cyclamenlift.accounts.messages import Demand
from cyclamenlift.accounts.messages import Grant
from cyclamenlift.accounts.messages import LimitTolerance
from cyclamenlift.accounts.messages import Use
from cyclamenlift.core.token_bucket import TokenBucket
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.accounts import AccountTable

# From this share of the bucket down, calls need a grant. What is left then is
# more than entries let pass before they hear of it.
TIGHT_SHARE = 0.3
# How long calls need a grant after the bucket was that low, in seconds.
TIGHT_SECONDS = 2.0
# Bounds of the time after which a refused entry asks again, in seconds: no
# more often than grants travel, and within the time that callers wait.
MIN_ASK_SECONDS = 0.1
MAX_ASK_SECONDS = 1.0
# An entry that asked this recently competes for the next calls, in seconds.
COMPETING_SECONDS = 1.0
# A demand is announced when it changed by this share, and again after so many
# seconds while there is any.
CHANGED_SHARE = 0.2
ANNOUNCE_SECONDS = 1.0
# Demand below this share of the limit is not announced: it hardly moves parts.
MIN_ANNOUNCED_SHARE = 0.01
# A bucket that has not been used for so long is forgotten, in seconds: it is
# full by then, also where the account was removed and added again.
FORGET_SECONDS = 60.0
# A home that has announced demand this recently is in use, in seconds: those
# with demand announce it more often. Of a data centre from which no home is
# heard, the last one counts on.
IN_USE_SECONDS = 2.5
# What a home that may have had a predecessor in the last window begins with,
# in calls at most: the predecessor may have granted all that there was.
INITIAL_CALLS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """The demand that another home of an account has announced."""

    data_centre: str
    calls_per_second: float
    at: float


@dataclasses.dataclass(slots=True)
class HomeAccount:
    """One account at its home.

    ``others`` holds what was heard from each home in another data centre;
    there may be two of one while members disagree. ``confirmed`` holds the own
    demand that each other data centre has confirmed to have heard, ``askers``
    when each entry last wanted a grant.
    """

    bucket: TokenBucket
    meter: RateMeter
    others: dict[str, Heard] = dataclasses.field(default_factory=dict)
    confirmed: dict[str, float] = dataclasses.field(default_factory=dict)
    askers: dict[str, float] = dataclasses.field(default_factory=dict)
    announced: float = 0.0
    announced_at: float = -math.inf
    tight_until: float = -math.inf
    told_until: float = -math.inf
    used_at: float = -math.inf
    part: float = 1.0

    def heard_from(self, data_centre: str, now: float) -> list[float]:
        """Return the demands of a data centre, none if it was never heard.

        Those of its homes in use; if there are none, that of the last one.
        """
        heard = [
            h for h in self.others.values() if h.data_centre == data_centre
        ]
        in_use = [h for h in heard if now - h.at <= IN_USE_SECONDS]
        if heard and not in_use:
            in_use = [max(heard, key=lambda h: h.at)]
        return [h.calls_per_second for h in in_use]


class HomeState:
    """The accounts for which this instance is the home."""

    def __init__(self, data_centre: str, tolerance: LimitTolerance):
        self.data_centre = data_centre
        self.tolerance = tolerance
        self.data_centres: frozenset[str] = frozenset((data_centre,))
        self.rules: dict[str, AccountRule] = {}
        self.accounts: dict[str, HomeAccount] = {}
        # When the daemons among which homes are chosen changed last.
        self.moved_at = -math.inf

    # -- commands ---------------------------------------------------------

    def set_rules(self, table: AccountTable | None, now: float) -> None:
        """Apply the accounts of a document; the buckets of others stay."""
        self.rules = table.by_name if table else {}
        for name, account in self.accounts.items():
            self.set_part(name, account, now)

    def set_data_centres(self, names: Iterable[str], now: float) -> None:
        """Set the data centres that share each limit, with this one.

        One that was known once keeps its part: it may be cut off and serve
        its callers.
        """
        known = self.data_centres | frozenset(names)
        if known == self.data_centres:
            return
        self.data_centres = known
        for name, account in self.accounts.items():
            self.set_part(name, account, now)

    def note_moved(self, now: float) -> None:
        """Record that homes may have moved, as a daemon came or went."""
        self.moved_at = now

    def report(self, entry: str, use: Use, now: float) -> Grant:
        """Count the calls that an entry reports and grant what it wants."""
        rule = self.rules.get(use.account)
        if rule is None or not rule.calls_per_second:
            return Grant(use.account, use.wanted)
        account = self.find(rule, now)
        account.used_at = now
        account.meter.note(use.used + use.wanted + use.turned_away, now)
        bucket = account.bucket
        # What was overdrawn a window ago counts no more.
        bucket.debit(
            now, use.used, -rule.calls_per_second * self.window_seconds
        )
        granted = 0
        if use.wanted:
            account.askers[entry] = now
            granted = bucket.take_up_to(now, use.wanted)
        if bucket.level < TIGHT_SHARE * bucket.depth:
            account.tight_until = now + TIGHT_SECONDS
        return self.grant(rule.name, account, granted, use.wanted, now)

    def note_demand(
        self, home: str, data_centre: str, heard: Demand, now: float
    ) -> Demand | None:
        """Record what another home demands of an account.

        Returns what is demanded here, which confirms that it was heard: the
        part here is smaller from now on, so the other's may grow.
        """
        rule = self.rules.get(heard.account)
        if rule is None or not rule.calls_per_second:
            return None
        account = self.find(rule, now)
        rate = heard.calls_per_second
        account.others[home] = Heard(data_centre, rate, now)
        self.set_part(rule.name, account, now)
        return Demand(heard.account, account.announced)

    def note_confirmed(
        self,
        home: str,
        data_centre: str,
        heard: Demand,
        own: float,
        now: float,
    ) -> None:
        """Record that another home has heard of the demand ``own``.

        ``heard`` is what is demanded there.
        """
        account = self.accounts.get(heard.account)
        if account is None:
            return
        rate = heard.calls_per_second
        account.others[home] = Heard(data_centre, rate, now)
        account.confirmed[data_centre] = own
        self.set_part(heard.account, account, now)

    def take_announcements(self, now: float) -> list[Demand]:
        """Return the demands that other data centres should hear of now."""
        due = []
        for name, account in self.accounts.items():
            rule = self.rules.get(name)
            if rule is None:
                continue
            rate = account.meter.current(now)
            if not self.is_announcement_due(rule, account, rate, now):
                continue
            account.announced = rate
            account.announced_at = now
            self.set_part(name, account, now)
            due.append(Demand(name, rate))
        return due

    def take_tight(self, names: Iterable[str], now: float) -> list[Grant]:
        """Return those accounts that are tight and not all entries know it."""
        due = []
        for name in names:
            account = self.accounts.get(name)
            if account is None:
                continue
            if account.tight_until <= max(now, account.told_until):
                continue
            if account.told_until - now > TIGHT_SECONDS / 2.0:
                continue
            account.told_until = account.tight_until
            due.append(self.grant(name, account, 0, 0, now))
        return due

    def forget_unused(self, now: float) -> None:
        """Forget the accounts that have been idle for long."""
        idle = [
            name
            for name, account in self.accounts.items()
            if now - account.used_at > FORGET_SECONDS
            and now - account.announced_at > FORGET_SECONDS
        ]
        for name in idle:
            del self.accounts[name]

    # -- queries ----------------------------------------------------------

    @property
    def window_seconds(self) -> float:
        return self.tolerance.window_seconds

    def is_active(self) -> bool:
        return bool(self.accounts)

    def is_announcement_due(
        self, rule: AccountRule, account: HomeAccount, rate: float, now: float
    ) -> bool:
        """Return whether a demand has changed, or is old."""
        least = MIN_ANNOUNCED_SHARE * rule.calls_per_second
        if max(rate, account.announced) < least:
            return False
        change = abs(rate - account.announced)
        if change > CHANGED_SHARE * max(rate, account.announced):
            return True
        return now - account.announced_at >= ANNOUNCE_SECONDS

    def grant(
        self,
        name: str,
        account: HomeAccount,
        granted: int,
        wanted: int,
        now: float,
    ) -> Grant:
        """Return a grant with what the entry needs to know of the account."""
        askers = account.askers
        for entry, asked_at in list(askers.items()):
            if now - asked_at > COMPETING_SECONDS:
                del askers[entry]
        rate = account.bucket.rate / max(1, len(askers))
        wait = 0.0
        if granted < wanted:
            gap = 1.0 / rate if rate else MAX_ASK_SECONDS
            wait = max(account.bucket.wait(now), gap, MIN_ASK_SECONDS)
        return Grant(
            account=name,
            granted=granted,
            wait_seconds=min(MAX_ASK_SECONDS, wait),
            tight_seconds=max(0.0, account.tight_until - now),
            calls_per_second=rate,
        )

    # -- steps ------------------------------------------------------------

    def find(self, rule: AccountRule, now: float) -> HomeAccount:
        """Return an account, which begins with few calls saved up."""
        account = self.accounts.get(rule.name)
        if account is None:
            seconds = seconds_to_measure(rule.calls_per_second)
            account = HomeAccount(
                TokenBucket(0.0, math.inf, now, 0.0), RateMeter(seconds)
            )
            account.used_at = now
            self.set_part(rule.name, account, now)
            account.bucket.level = self.initial_level(account, now)
            self.accounts[rule.name] = account
        return account

    def initial_level(self, account: HomeAccount, now: float) -> float:
        """Return what an account has saved up that was not used here yet."""
        depth = account.bucket.depth
        if now - self.moved_at > self.window_seconds:
            return depth
        return min(INITIAL_CALLS, depth / 2.0)

    def set_part(self, name: str, account: HomeAccount, now: float) -> None:
        """Work out this data centre's part of an account's limit.

        A data centre that has not been heard of counts with an even part. So
        does this one until all others have confirmed its demand. After that,
        its part only grows by what they confirm: each takes itself to demand
        no more, and the others no less, than all of them know, so that the
        parts never add up to more than the limit.
        """
        rule = self.rules.get(name)
        if rule is None or not rule.calls_per_second:
            return
        even = rule.calls_per_second / len(self.data_centres)
        others = [
            rate
            for data_centre in self.data_centres
            if data_centre != self.data_centre
            for rate in account.heard_from(data_centre, now) or [even]
        ]
        confirmed = [
            account.confirmed.get(data_centre, even)
            for data_centre in self.data_centres
            if data_centre != self.data_centre
        ]
        own = account.announced
        if account.announced_at == -math.inf:
            own = even
        account.part = part_of_limit(
            min((own, *confirmed)), others, rule.calls_per_second
        )
        depth = account.part * rule.burst_calls
        depth += self.tolerance.jitter_calls / len(self.data_centres)
        account.bucket.set_rate(
            account.part * rule.calls_per_second,
            max(1.0, depth),
            now,
        )
