"""Addresses to try now and then, so that healed partitions meet again."""

import random

MAX_CONTACTS = 1024


class Contacts:
    """Seeds and the last addresses of members that are gone."""

    def __init__(self, seeds: tuple[str, ...], rng: random.Random) -> None:
        self.rng = rng
        self.seeds = seeds
        self.gone: dict[str, str] = {}

    def add(self, instance: str, address: str) -> None:
        """Remember where a dead member was; the oldest make room."""
        self.gone.pop(instance, None)
        self.gone[instance] = address
        if len(self.gone) > MAX_CONTACTS:
            del self.gone[next(iter(self.gone))]

    def discard(self, instance: str) -> None:
        self.gone.pop(instance, None)

    def pick(self, known: set[str]) -> str | None:
        """Return an address that no live member has, None if there is none.

        Seeds and gone members take turns by chance.
        """
        seeds = [a for a in self.seeds if a not in known]
        gone = [a for a in self.gone.values() if a not in known]
        pools = [pool for pool in (seeds, gone) if pool]
        if not pools:
            return None
        return self.rng.choice(self.rng.choice(pools))
