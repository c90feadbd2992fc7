"""Addresses to contact occasionally, so that healed partitions merge."""

import random

MAX_CONTACTS = 1024


class Contacts:
    """The seeds and the last known addresses of dead members."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self.rng = rng
        self.seeds = seeds
        self.dead: dict[str, str] = {}

    def add(self, instance: str, address: str) -> None:
        """Record a dead member's address and evict the oldest one if full."""
        self.dead.pop(instance, None)
        self.dead[instance] = address
        if len(self.dead) > MAX_CONTACTS:
            del self.dead[next(iter(self.dead))]

    def discard(self, instance: str) -> None:
        self.dead.pop(instance, None)

    def pick(self, known: set[str]) -> str | None:
        """Return an address that no live member has, or None.

        Chooses at random between seeds and dead members.
        """
        seeds = [a for a in self.seeds if a not in known]
        dead = [a for a in self.dead.values() if a not in known]
        pools = [pool for pool in (seeds, dead) if pool]
        if not pools:
            return None
        return self.rng.choice(self.rng.choice(pools))
