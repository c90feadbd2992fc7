"""Keeps the limits of client accounts together with the other instances.

This process is an entry for all accounts and the home of some of them.
"""

from collections.abc import Callable

from cyclamenlift.accounts.entry import EntryState
from cyclamenlift.accounts.entry_reports import EntryReports
from cyclamenlift.accounts.entry_reports import Resume
from cyclamenlift.accounts.home import HomeState
from cyclamenlift.accounts.home_messages import HomeMessages
from cyclamenlift.accounts.messages import LimitTolerance
from cyclamenlift.accounts.messages import PASS
from cyclamenlift.accounts.placement import Daemon
from cyclamenlift.accounts.placement import Placement
from cyclamenlift.core.streams import Address
from cyclamenlift.membership.records import is_live
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.rules import EventRules
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole


class AccountLimits:
    """Decides whether calls of accounts pass, with the homes' grants."""

    def __init__(
        self,
        scheduler,
        network,
        instance: str,
        data_centre: str,
        tolerance: LimitTolerance,
    ):
        self.now: Callable[[], float] = scheduler.clock.now
        self.data_centre = data_centre
        self.entry = EntryState(tolerance)
        self.home = HomeState(data_centre, tolerance)
        self.placement = Placement()
        self.rules: dict[str, AccountRule] = {}
        self.reports = EntryReports(
            scheduler, network, instance, self.entry, self.home, self.home_of
        )
        self.home_messages = HomeMessages(
            scheduler,
            network,
            instance,
            data_centre,
            self.home,
            self.placement,
        )
        self.reports.on_local_report = self.home_messages.schedule
        self.home_messages.tell_local_entry = lambda grants: (
            self.reports.apply_grants(grants, False)
        )

    # -- commands ---------------------------------------------------------

    def apply_rules(self, rules: EventRules) -> None:
        """Apply the accounts of an event document."""
        self.rules = rules.accounts.by_name if rules.accounts else {}
        self.reports.rules = self.rules
        self.home.set_rules(rules.accounts, self.now())

    def note_member(
        self, record: MemberRecord, address: Address | None
    ) -> None:
        """Add or remove a daemon among which homes are chosen."""
        live = is_live(record) and record.role == MemberRole.DAEMON
        if not live or address is None:
            moved = self.placement.remove(record.instance)
        else:
            moved = self.placement.add(
                Daemon(record.instance, record.data_centre, address)
            )
        if moved and record.data_centre == self.data_centre:
            self.home.note_moved(self.now())
        self.home.set_data_centres(self.placement.data_centres(), self.now())
        self.entry.set_entries(len(self.placement.daemons))

    def request_passage(
        self, rule: AccountRule | None, resume: Resume
    ) -> None:
        """Decide whether a call passes, at once or after asking the home."""
        if rule is None:
            resume(PASS)
        else:
            self.reports.request_passage(rule, resume)

    def withdraw(self, rule: AccountRule, resume: Resume) -> None:
        """Forget a call that was given up while it waited."""
        self.reports.withdraw(rule, resume)

    def give_back(self, rule: AccountRule) -> None:
        """Count a call back that passed and is proven not run."""
        if rule.calls_per_second:
            self.reports.give_back(rule)

    # -- queries ----------------------------------------------------------

    def home_of(self, name: str) -> Daemon | None:
        """Return the home of an account, None if no daemon is known."""
        return self.placement.home(name, self.data_centre)
