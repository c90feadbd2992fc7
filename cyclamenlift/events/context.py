"""What the commands and queries of a control instance work on."""

import dataclasses

from cyclamenlift.events.state import EventStore
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.replication.tasks import Replica


@dataclasses.dataclass(frozen=True, slots=True)
class ControlContext:
    """The parts of one control instance."""

    instance: str
    data_centre: str
    replica: Replica
    store: EventStore
    ledger: Ledger

    def leads(self) -> bool:
        """Tell whether this instance believes that it leads."""
        return self.replica.leader == self.instance

    def leader_hint(self) -> str:
        """Return the name of another instance that leads, or nothing."""
        return '' if self.leads() else self.replica.leader
