"""Which data centres are evacuated, as a deterministic state machine.

Nothing is sent to the targets of an evacuated data centre. The state is
replicated beside the event documents and has a revision of its own: operators
number the versions of documents, and an evacuation must not use one up.

An order names the revision that its sender knew. It is refused if its data
centre has changed since, so a copy that arrives late, after the opposite
order, has no effect.
"""

import dataclasses

import pydantic

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.state import PublishOutcome
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState

# Records kept of data centres; those that are in use again go first.
MAX_RECORDS = 256
# Data centres that may be evacuated at a time. Their names are part of each
# packet between members.
MAX_EVACUATED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """The last change of one data centre; the time is the leader's clock."""

    data_centre: str
    evacuated: bool
    revision: int
    stamp_unix_ms: int
    operator_name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationSnapshot:
    """The complete serialized state."""

    revision: int
    records: list[EvacuationRecord]


SNAPSHOT = pydantic.TypeAdapter(EvacuationSnapshot)


class EvacuationStore:
    """The data centres that are, or were, evacuated."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, EvacuationRecord] = {}

    # -- commands ---------------------------------------------------------

    def change(
        self,
        data_centre: str,
        evacuated: bool,
        base_revision: int,
        stamp_unix_ms: int,
        operator_name: str = '',
    ) -> PublishOutcome:
        """Apply an order from the log and return its outcome.

        An order for the state that a data centre is in already is accepted
        and changes nothing, so orders can be sent again.
        """
        known = self.records.get(data_centre)
        is_evacuated = known is not None and known.evacuated
        if is_evacuated == evacuated:
            return self.accepted()
        if known is not None and base_revision < known.revision:
            return PublishOutcome(
                ResultCode.VERSION_CONFLICT,
                0,
                self.revision,
                f'{data_centre} changed in revision {known.revision}, '
                f'the order is based on {base_revision}',
            )
        if evacuated and len(self.evacuated()) >= MAX_EVACUATED:
            return PublishOutcome(
                ResultCode.EVACUATION_REFUSED,
                0,
                self.revision,
                f'{MAX_EVACUATED} data centres are evacuated already',
            )
        self.revision += 1
        self.records[data_centre] = EvacuationRecord(
            data_centre,
            evacuated,
            self.revision,
            stamp_unix_ms,
            operator_name,
        )
        self.forget_oldest()
        return self.accepted()

    def accepted(self) -> PublishOutcome:
        return PublishOutcome(
            ResultCode.CHANGE_ACCEPTED, self.revision, self.revision
        )

    def forget_oldest(self) -> None:
        """Drop the oldest records of data centres that are in use again."""
        over = len(self.records) - MAX_RECORDS
        ended = [r for r in self.records.values() if not r.evacuated]
        ended.sort(key=lambda record: record.revision)
        for record in ended[: max(0, over)]:
            del self.records[record.data_centre]

    # -- queries ----------------------------------------------------------

    def evacuated(self) -> list[EvacuationRecord]:
        """Return the records of evacuated data centres, by name."""
        found = [r for r in self.records.values() if r.evacuated]
        return sorted(found, key=lambda record: record.data_centre)

    def wire_state(self) -> EvacuationState | None:
        """Return the state as daemons get it, None if it never changed."""
        if not self.revision:
            return None
        names = [record.data_centre for record in self.evacuated()]
        changed_unix_ms = max(
            (r.stamp_unix_ms for r in self.records.values()), default=0
        )
        return EvacuationState(self.revision, names, changed_unix_ms)

    # -- snapshots --------------------------------------------------------

    def encode(self) -> bytes:
        """Serialize the state as the JSON of an ``EvacuationSnapshot``."""
        records = sorted(self.records.values(), key=lambda r: r.revision)
        return SNAPSHOT.dump_json(EvacuationSnapshot(self.revision, records))

    def restore(self, state: EvacuationSnapshot | None) -> None:
        """Replace the state with that of a decoded snapshot.

        A snapshot of a release without evacuations holds none; what is known
        here stays.
        """
        if state is None:
            return
        self.revision = state.revision
        self.records = {r.data_centre: r for r in state.records}
