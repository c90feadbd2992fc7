"""The context that operator commands and queries run in."""

from collections.abc import Callable
import dataclasses

from cyclamenlift.events.evacuations import EvacuationStore
from cyclamenlift.events.state import EventStore
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.replication.tasks import Replica


@dataclasses.dataclass(frozen=True, slots=True)
class ControlContext:
    """The components of one control instance."""

    instance: str
    data_centre: str
    replica: Replica
    store: EventStore
    ledger: Ledger
    evacuations: EvacuationStore = dataclasses.field(
        default_factory=EvacuationStore
    )
    # Returns the names of all known data centres.
    find_data_centres: Callable[[], set[str]] = set
    # Returns the other control instances that can't apply evacuations.
    find_outdated_peers: Callable[[], list[str]] = list

    def leads(self) -> bool:
        """Return whether this instance considers itself the leader."""
        return self.replica.leader == self.instance

    def leader_hint(self) -> str:
        """Return the name of the leader if it is another instance."""
        return '' if self.leads() else self.replica.leader
