"""What this instance says and hears as the home of accounts."""

from collections.abc import Callable
import itertools

import structlog

from cyclamenlift.accounts.home import HomeState
from cyclamenlift.accounts.messages import Demand
from cyclamenlift.accounts.messages import Grant
from cyclamenlift.accounts.placement import Daemon
from cyclamenlift.accounts.placement import Placement
from cyclamenlift.accounts.wire import demands_from_wire
from cyclamenlift.accounts.wire import demands_to_wire
from cyclamenlift.accounts.wire import grants_to_wire
from cyclamenlift.accounts.wire import uses_from_wire
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.wire.gen.protocol.ttypes import AccountDemands
from cyclamenlift.wire.gen.protocol.ttypes import AccountReport

LOG = structlog.get_logger('accounts')
# Interval of what homes tell entries and other data centres, in seconds.
HOME_SECONDS = 0.25
# A confirmation that takes longer is not waited for, in seconds.
CONFIRM_SECONDS = 2.0


class HomeMessages:
    """Answers entries and exchanges demand with other data centres."""

    def __init__(
        self,
        scheduler,
        network,
        instance: str,
        data_centre: str,
        state: HomeState,
        placement: Placement,
    ):
        self.scheduler = scheduler
        self.now: Callable[[], float] = scheduler.clock.now
        self.network = network
        self.instance = instance
        self.data_centre = data_centre
        self.state = state
        self.placement = placement
        self.numbers = itertools.count(1)
        # Demands that other data centres have not confirmed yet, by number.
        self.announced: dict[int, dict[str, float]] = {}
        self.timer = None
        # Called with what the entry of this instance should hear as well.
        self.tell_local_entry: Callable[[list[Grant]], None] = lambda _: None
        network.subscribe(AccountReport, self.on_report)
        network.subscribe(AccountDemands, self.on_demands)

    # -- what is told -----------------------------------------------------

    def schedule(self) -> None:
        if self.timer is None and self.state.is_active():
            self.timer = self.scheduler.after(HOME_SECONDS, self.tell_others)

    def tell_others(self) -> None:
        """Tell entries of tight accounts, other data centres of demand."""
        self.timer = None
        now = self.now()
        self.tell_entries(self.state.accounts, now)
        by_home: dict[Daemon, list[Demand]] = {}
        for demand in self.state.take_announcements(now):
            for home in self.other_homes(demand.account):
                by_home.setdefault(home, []).append(demand)
        for home, demands in by_home.items():
            self.announce(home, demands)
        self.state.forget_unused(now)
        self.schedule()

    def announce(self, home: Daemon, demands: list[Demand]) -> None:
        """Tell a home in another data centre what is demanded here."""
        number = next(self.numbers)
        self.announced[number] = {
            demand.account: demand.calls_per_second for demand in demands
        }
        self.scheduler.after(
            CONFIRM_SECONDS, lambda: self.announced.pop(number, None)
        )
        message = demands_to_wire(self.data_centre, demands, number)
        self.network.send(home.address, message)

    def tell_entries(self, names, now: float) -> None:
        """Tell all entries here of those accounts that are near a limit."""
        grants = self.state.take_tight(names, now)
        if not grants:
            return
        for grant in grants:
            self.log_tight(grant)
        message = grants_to_wire(0, grants)
        for daemon in self.placement.in_data_centre(self.data_centre):
            if daemon.instance != self.instance:
                self.network.send(daemon.address, message)
        self.tell_local_entry(grants)

    def log_tight(self, grant: Grant) -> None:
        account = self.state.accounts[grant.account]
        LOG.info(
            'account_tight',
            account=grant.account,
            part=round(account.part, 3),
            saved_up=round(account.bucket.level, 1),
            depth=round(account.bucket.depth, 1),
            calls_per_second=round(account.bucket.rate, 2),
            demanded=round(account.meter.current(self.now()), 2),
            heard={
                name: round(heard.calls_per_second, 2)
                for name, heard in account.others.items()
            },
            tight_ms=int(grant.tight_seconds * MILLISECONDS),
        )

    # -- what is heard ----------------------------------------------------

    def on_report(self, link, message: AccountReport) -> None:
        """Answer the report of an entry."""
        now = self.now()
        entry = link.hello.instance
        uses = uses_from_wire(message)
        grants = [self.state.report(entry, use, now) for use in uses]
        link.send(grants_to_wire(message.report_id, grants))
        self.tell_entries([use.account for use in uses], now)
        self.schedule()

    def on_demands(self, link, message: AccountDemands) -> None:
        """Take in what another home demands, and confirm it."""
        home = link.hello.instance
        if message.confirms:
            self.on_confirmed(home, message)
            return
        now = self.now()
        answers = [
            self.state.note_demand(home, message.data_centre, demand, now)
            for demand in demands_from_wire(message)
        ]
        own = [demand for demand in answers if demand is not None]
        link.send(demands_to_wire(self.data_centre, own, message.number, True))
        self.schedule()

    def on_confirmed(self, home: str, message: AccountDemands) -> None:
        """Let parts grow by what another home has heard of."""
        announced = self.announced.pop(message.number, {})
        now = self.now()
        for demand in demands_from_wire(message):
            own = announced.get(demand.account)
            if own is not None:
                self.state.note_confirmed(
                    home, message.data_centre, demand, own, now
                )

    # -- queries ----------------------------------------------------------

    def other_homes(self, name: str) -> list[Daemon]:
        """Return the homes of an account in the other data centres."""
        homes = [
            self.placement.home(name, data_centre)
            for data_centre in self.placement.data_centres()
            if data_centre != self.data_centre
        ]
        return [home for home in homes if home is not None]
