"""Who counts: the voter set, by instance and storage id.

An instance's name is not enough to count its vote, since its disk may have
come back empty and forgotten what it promised. A configuration therefore
maps each instance to the storage id of the data folder that counts for it,
and is itself an entry of the log.

* Founding: with no configuration in its log a candidate needs the votes of
  *every* instance, all with empty logs. Any instance that holds an entry
  refuses, so wiped folders can not found a second cluster beside data.
* Replacement: after a changed configuration a majority of the old *and* of
  the new one is needed, until a final one stands in the log. That entry is
  made only after the change was committed, so whoever holds it, also after
  a restart, has the proof that the old storage is no longer needed.
"""

from collections.abc import Mapping
import dataclasses
import json


class ConfigurationError(ValueError):
    """The bytes of a configuration can not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The storage id that counts for each instance, since ``index``.

    ``final`` says that those before it do not count any more.
    ``addresses`` tells where an instance is reached, ``host:port``, so
    that one that was added is found after a restart of all.
    """

    index: int
    storage_ids: dict[str, str]
    final: bool = True
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    def has_majority(self, present: Mapping[str, str]) -> bool:
        """Tell whether ``present`` (instance to storage id) is a majority.

        >>> configuration = Configuration(1, {'a': '1', 'b': '2', 'c': '3'})
        >>> configuration.has_majority({'a': '1', 'b': '2'})
        True
        >>> configuration.has_majority({'a': '1', 'b': 'an empty disk'})
        False
        """
        held = sum(
            present.get(name) == storage_id
            for name, storage_id in self.storage_ids.items()
        )
        return held > len(self.storage_ids) // 2

    def replaced(self, instance: str, storage_id: str) -> 'Configuration':
        """Return a copy, not yet in the log, with one storage replaced."""
        storage_ids = dict(self.storage_ids)
        storage_ids[instance] = storage_id
        return Configuration(0, storage_ids, False, self.addresses)

    def joined(
        self, instance: str, storage_id: str, address: str
    ) -> 'Configuration':
        """Return a copy, not yet in the log, with one voter more."""
        storage_ids = dict(self.storage_ids)
        storage_ids[instance] = storage_id
        addresses = dict(self.addresses)
        addresses[instance] = address
        return Configuration(0, storage_ids, False, addresses)

    def without(self, instance: str) -> 'Configuration':
        """Return a copy, not yet in the log, with one voter less."""
        storage_ids = dict(self.storage_ids)
        storage_ids.pop(instance, None)
        addresses = dict(self.addresses)
        addresses.pop(instance, None)
        return Configuration(0, storage_ids, False, addresses)

    def finished(self) -> 'Configuration':
        """Return the same voters, with those before them forgotten."""
        return dataclasses.replace(self, final=True)

    def encode(self) -> bytes:
        fields = {
            'addresses': self.addresses,
            'final': self.final,
            'storage_ids': self.storage_ids,
        }
        return json.dumps(fields, sort_keys=True).encode()

    @classmethod
    def decode(cls, index: int, data: bytes) -> 'Configuration':
        """Read a configuration; raise ConfigurationError on bad bytes."""
        try:
            fields = json.loads(data)
            return cls(
                index,
                fields['storage_ids'],
                fields['final'],
                fields.get('addresses', {}),
            )
        except (ValueError, TypeError, KeyError) as error:
            raise ConfigurationError(repr(error)) from error


class Voters:
    """The configurations of the log, and the quorums they ask for."""

    def __init__(self, names: tuple[str, ...]):
        self.names = names
        self.history: list[Configuration] = []

    def note_appended(self, configuration: Configuration) -> None:
        self.history.append(configuration)

    def truncate_from(self, index: int) -> None:
        """Forget the configurations of entries that were cut."""
        self.history = [c for c in self.history if c.index < index]

    def reset(self, configuration: Configuration | None) -> None:
        """Forget all but the configuration of a snapshot."""
        self.history = [configuration] if configuration else []

    def restart_from(self, configuration: Configuration | None) -> None:
        """Begin with the configuration of a snapshot, keep later ones."""
        first = configuration.index if configuration else 0
        later = [c for c in self.history if c.index > first]
        self.reset(configuration)
        self.history.extend(later)

    def at(self, index: int) -> Configuration | None:
        """Return the configuration in force at ``index``."""
        found = [c for c in self.history if c.index <= index]
        return found[-1] if found else None

    @property
    def latest(self) -> Configuration | None:
        return self.history[-1] if self.history else None

    def known_names(self) -> set[str]:
        """Return all that count, or shall found the cluster."""
        if not self.history:
            return set(self.names)
        return {n for c in self.active for n in c.storage_ids}

    @property
    def active(self) -> list[Configuration]:
        """Return the last final configuration and those after it."""
        chosen: list[Configuration] = []
        for configuration in reversed(self.history):
            chosen.append(configuration)
            if configuration.final:
                break
        return chosen

    def change_pending(self, commit_index: int) -> bool:
        latest = self.latest
        return (
            latest is None or not latest.final or latest.index > commit_index
        )

    def has_quorum(self, present: Mapping[str, str]) -> bool:
        """Tell whether ``present`` decides: elects, commits, confirms."""
        active = self.active
        if not active:
            return self.can_found(present)
        return all(c.has_majority(present) for c in active)

    def can_found(self, present: Mapping[str, str]) -> bool:
        """Tell whether every instance is there to found the cluster."""
        return all(name in present for name in self.names)

    def names_storage(self, instance: str, storage_id: str) -> bool:
        """Tell whether the latest configuration names this storage."""
        latest = self.latest
        if latest is None:
            return False
        return latest.storage_ids.get(instance) == storage_id
