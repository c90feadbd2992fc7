"""Reports of this entry to the homes of accounts, and what homes answer."""

import collections
from collections.abc import Callable
import dataclasses
import itertools

import structlog

from cyclamenlift.accounts.entry import EntryState
from cyclamenlift.accounts.home import HomeState
from cyclamenlift.accounts.messages import Decision
from cyclamenlift.accounts.messages import Grant
from cyclamenlift.accounts.messages import PASS
from cyclamenlift.accounts.messages import Passage
from cyclamenlift.accounts.messages import Use
from cyclamenlift.accounts.placement import Daemon
from cyclamenlift.accounts.wire import grants_from_wire
from cyclamenlift.accounts.wire import report_to_wire
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.wire.gen.protocol.ttypes import AccountGrants

LOG = structlog.get_logger('accounts')
# Interval of reports while there is something to report, in seconds.
REPORT_SECONDS = 0.2
# A call that waits for an answer longer is decided on alone, in seconds: many
# times the round trip within a data centre, a fraction of what callers wait.
ANSWER_SECONDS = 0.15
# A report that is not answered for longer is sent again, in seconds. Nobody
# stands in for a home that is slow or frozen: two would grant the same calls.
# Another one follows when it is no longer a member.
SILENT_SECONDS = 1.0
Resume = Callable[[Decision], None]


@dataclasses.dataclass(slots=True)
class OpenReport:
    """A report that has not been answered yet."""

    home: Daemon
    uses: list[Use]
    timer: object


class EntryReports:
    """Asks homes for calls that need a grant and reports all others.

    ``home_of`` returns the daemon to ask for an account. ``local_home`` is the
    state of this instance, which may be that daemon.
    """

    def __init__(
        self,
        scheduler,
        network,
        instance: str,
        state: EntryState,
        local_home: HomeState,
        home_of: Callable[[str], Daemon | None],
    ):
        self.scheduler = scheduler
        self.now: Callable[[], float] = scheduler.clock.now
        self.network = network
        self.instance = instance
        self.state = state
        self.local_home = local_home
        self.home_of = home_of
        self.rules: dict[str, AccountRule] = {}
        self.waiting: dict[str, collections.deque[Resume]] = {}
        self.open_reports: dict[int, OpenReport] = {}
        # Accounts with an open report; the next one waits for its answer.
        self.asking: set[str] = set()
        self.numbers = itertools.count(1)
        self.timer = None
        # Called when calls were reported to this instance itself.
        self.on_local_report: Callable[[], None] = lambda: None
        network.subscribe(AccountGrants, self.on_grants)

    # -- commands ---------------------------------------------------------

    def request_passage(self, rule: AccountRule, resume: Resume) -> None:
        """Decide whether a call passes, at once or after asking the home."""
        decision = self.state.decide(rule, self.now())
        if decision.passage is not Passage.ASK:
            resume(decision)
            self.schedule()
            return
        self.waiting.setdefault(rule.name, collections.deque()).append(resume)
        self.ask(rule.name)

    def withdraw(self, rule: AccountRule, resume: Resume) -> None:
        """Forget a call that was given up while it waited."""
        waiting = self.waiting.get(rule.name)
        if waiting and resume in waiting:
            waiting.remove(resume)
            self.state.withdraw(rule.name)

    def give_back(self, rule: AccountRule) -> None:
        """Count a call back that passed and is proven not run."""
        self.state.give_back(rule.name, self.now())
        self.schedule()

    def apply_grants(self, grants: list[Grant], answered: bool) -> None:
        """Apply what a home said; if it answered, decide waiting calls."""
        now = self.now()
        for grant in grants:
            passing = self.state.apply_grant(grant, answered, now)
            if answered:
                self.resume_waiting(grant, passing, now)
        self.schedule()

    # -- reports ----------------------------------------------------------

    def schedule(self) -> None:
        if self.timer is None and self.state.due:
            self.timer = self.scheduler.after(REPORT_SECONDS, self.report_all)

    def report_all(self) -> None:
        """Report what is due of all accounts, one message to each home."""
        self.timer = None
        now = self.now()
        uses: dict[Daemon, list[Use]] = {}
        for name in self.state.take_due(now):
            home = None if name in self.asking else self.home_of(name)
            if home is None:
                self.state.due.add(name)
                continue
            use = self.state.take_use(name, now)
            if use is not None:
                uses.setdefault(home, []).append(use)
        for home, items in uses.items():
            self.send(home, items)
        self.state.forget_unused(now)
        self.schedule()

    def ask(self, name: str) -> None:
        """Ask the home of an account for its waiting calls."""
        if name in self.asking:
            return
        home = self.home_of(name)
        if home is None:
            self.decide_alone(name, 'no daemon known')
            return
        use = self.state.take_use(name, self.now())
        if use is not None:
            self.send(home, [use])

    def send(self, home: Daemon, uses: list[Use]) -> None:
        """Send a report, or apply it at once if this instance is the home."""
        now = self.now()
        if home.instance == self.instance:
            report = self.local_home.report
            grants = [report(self.instance, use, now) for use in uses]
            self.on_local_report()
            self.apply_grants(grants, True)
            return
        number = next(self.numbers)
        timer = self.scheduler.after(
            ANSWER_SECONDS, lambda: self.on_delay(number)
        )
        self.open_reports[number] = OpenReport(home, uses, timer)
        self.asking.update(use.account for use in uses)
        self.network.send(home.address, report_to_wire(number, uses))

    def close(self, number: int) -> OpenReport | None:
        """Close and return a report, None if it is not open."""
        report = self.open_reports.pop(number, None)
        if report is not None:
            self.asking.difference_update(use.account for use in report.uses)
        return report

    def on_delay(self, number: int) -> None:
        """Decide alone on the calls that wait for a late answer."""
        report = self.open_reports[number]
        for use in report.uses:
            if use.wanted:
                self.decide_alone(use.account, 'home late')
        report.timer = self.scheduler.after(
            SILENT_SECONDS - ANSWER_SECONDS, lambda: self.on_silence(number)
        )

    def on_silence(self, number: int) -> None:
        """Report the calls again of a report that was not answered."""
        report = self.close(number)
        LOG.info(
            'account_home_silent',
            home=report.home.instance,
            accounts=len(report.uses),
        )
        now = self.now()
        for use in report.uses:
            self.state.restore(use)
            self.state.enter_doubt(use.account, now)
            if self.waiting.get(use.account):
                self.decide_alone(use.account, 'home silent')
        self.schedule()

    def on_grants(self, _link, message: AccountGrants) -> None:
        """Apply the answer to a report, or what a home tells all entries."""
        grants = grants_from_wire(message)
        if not message.report_id:
            self.apply_grants(grants, False)
            return
        report = self.close(message.report_id)
        if report is None:
            # Too late: the calls have been reported again.
            return
        report.timer.cancel()
        self.apply_grants(grants, True)

    # -- waiting calls ----------------------------------------------------

    def decide_alone(self, name: str, reason: str) -> None:
        """Decide on waiting calls by what nobody else can be using."""
        now = self.now()
        self.state.enter_doubt(name, now)
        rule = self.rules.get(name)
        waiting = self.waiting.pop(name, ())
        LOG.info(
            'account_in_doubt',
            account=name,
            reason=reason,
            waiting=len(waiting),
            entries=self.state.entries,
        )
        for resume in waiting:
            if rule is None:
                resume(PASS)
            else:
                resume(self.state.decide_waiting_in_doubt(rule, now))

    def resume_waiting(self, grant: Grant, passing: int, now: float) -> None:
        """Let calls pass as far as granted; refuse or ask for the others."""
        waiting = self.waiting.get(grant.account)
        if waiting is None:
            return
        for _ in range(min(passing, len(waiting))):
            waiting.popleft()(PASS)
        while waiting and grant.wait_seconds:
            resume = waiting.popleft()
            resume(self.state.refuse_waiting(grant.account, now))
        if waiting:
            self.ask(grant.account)
        else:
            self.waiting.pop(grant.account, None)
