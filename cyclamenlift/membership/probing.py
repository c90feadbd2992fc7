"""Selects the member to probe in each period and tracks the results."""

import dataclasses
import enum
import random

RELAY_PERIODS = 3.0


class Stage(enum.Enum):
    """The stage of an unanswered probe."""

    DIRECT = 'direct'
    INDIRECT = 'indirect'


@dataclasses.dataclass(slots=True)
class Probe:
    """A pending probe; ``fresh`` if the member was not suspected."""

    instance: str
    incarnation: int
    sequence: int
    stage: Stage
    fresh: bool


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe on behalf of another member, which gets the answer."""

    address: str
    sequence: int
    subject: str
    deadline: float


class ProbeRound:
    """Round-robin over a shuffled list: each member is probed in turn.

    The time until a dead member is first probed is bounded by the number of
    members, while the cost stays at one probe a period.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.names: list[str] = []

    def next(self, live: set[str] | dict) -> str | None:
        """Return the next name that is still in ``live``."""
        for _ in range(2):
            while self.names:
                name = self.names.pop()
                if name in live:
                    return name
            self.names = list(live)
            self.rng.shuffle(self.names)
        return None


class Prober:
    """Tracks pending probes and relays."""

    def __init__(self, rng: random.Random) -> None:
        self.round = ProbeRound(rng)
        self.sequence = rng.getrandbits(32)
        self.pending_probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}

    def next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def begin(self, instance: str, incarnation: int, fresh: bool) -> Probe:
        """Register a probe that is about to be sent."""
        number = self.next_sequence()
        probe = Probe(instance, incarnation, number, Stage.DIRECT, fresh)
        self.pending_probes[number] = probe
        return probe

    def complete(self, sequence: int) -> Probe | None:
        """Complete and return a probe, None if it is no longer pending."""
        return self.pending_probes.pop(sequence, None)

    def pending(self) -> list[Probe]:
        """Return the pending probes of earlier periods."""
        return list(self.pending_probes.values())

    def give_up(self, probe: Probe) -> None:
        del self.pending_probes[probe.sequence]

    def relay(
        self, address: str, sequence: int, subject: str, deadline: float
    ) -> int:
        """Register a probe for another member; return its sequence number."""
        number = self.next_sequence()
        self.relays[number] = Relay(address, sequence, subject, deadline)
        return number

    def complete_relay(self, sequence: int) -> Relay | None:
        return self.relays.pop(sequence, None)

    def drop_late_relays(self, now: float) -> None:
        late = [n for n, r in self.relays.items() if r.deadline <= now]
        for number in late:
            del self.relays[number]
