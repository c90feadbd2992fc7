"""Addresses to contact occasionally, so that healed partitions merge."""

import random

MAX_CONTACTS = 1024


class Contacts:
    """The seeds and the last known addresses of dead members."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self.rng = rng
        self.seeds = seeds
        self.gone: dict[str, str] = {}

    def add(self, instance: str, address: str) -> None:
        """Record a dead member's address and evict the oldest one if full."""
        self.gone.pop(instance, None)
        self.gone[instance] = address
        if len(self.gone) > MAX_CONTACTS:
            del self.gone[next(iter(self.gone))]

    def discard(self, instance: str) -> None:
        self.gone.pop(instance, None)

    def pick(self, known: set[str]) -> str | None:
        """Return an address that no live member has, or None.

        Chooses at random between seeds and dead members.
        """
        seeds = [a for a in self.seeds if a not in known]
        gone = [a for a in self.gone.values() if a not in known]
        pools = [pool for pool in (seeds, gone) if pool]
        if not pools:
            return None
        return self.rng.choice(self.rng.choice(pools))
