"""The voter set, identified by instance and storage id.

An instance name alone does not identify a voter: its disk may have come
back empty and lost the votes and entries it had persisted. A configuration
therefore maps each instance to the storage id of its voting data folder,
and is itself an entry of the log.

* Bootstrap: with no configuration in its log a candidate needs the votes of
  *every* founder, all with empty logs. Any instance that holds an entry
  refuses, so wiped folders cannot form a second cluster beside existing
  data. Where wiped folders never take part in a bootstrap, a majority of the
  founders may do after a while. The first configuration then names the
  others without a storage, so that a majority of all founders is needed for
  whatever it commits, and any two such majorities have a founder in common.
* Reconfiguration (joint consensus): after a changed configuration a
  majority of the old *and* of the new one is needed, until a final one is
  in the log. That entry is appended only after the change was committed,
  so any instance that holds it, also after a restart, knows that the old
  storage is no longer needed.
"""

from collections.abc import Mapping
import dataclasses
import json


class ConfigurationError(ValueError):
    """An encoded configuration cannot be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The voting storage id of each instance, from ``index`` on.

    ``final`` means that earlier configurations are no longer in force. The
    storage id of a founder that has not taken part yet is empty; it counts
    for nobody, but for the size of a majority.
    ``addresses`` holds each instance's ``host:port``, so that instances
    added later can be reached after a full restart.
    """

    index: int
    storage_ids: dict[str, str]
    final: bool = True
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    def has_majority(self, present: Mapping[str, str]) -> bool:
        """Return whether ``present`` (instance to storage id) is a majority.

        >>> configuration = Configuration(1, {'a': '1', 'b': '2', 'c': '3'})
        >>> configuration.has_majority({'a': '1', 'b': '2'})
        True
        >>> configuration.has_majority({'a': '1', 'b': 'an empty disk'})
        False
        """
        matching = sum(
            present.get(name) == storage_id
            for name, storage_id in self.storage_ids.items()
            if storage_id
        )
        return matching >= self.majority

    @property
    def majority(self) -> int:
        return len(self.storage_ids) // 2 + 1

    @property
    def storages(self) -> int:
        """The number of voters that have a storage."""
        return sum(map(bool, self.storage_ids.values()))

    def replaced(self, instance: str, storage_id: str) -> 'Configuration':
        """Return a non-final copy with the storage of one voter replaced."""
        storage_ids = dict(self.storage_ids)
        storage_ids[instance] = storage_id
        return Configuration(0, storage_ids, False, self.addresses)

    def joined(
        self, instance: str, storage_id: str, address: str
    ) -> 'Configuration':
        """Return a non-final copy with a voter added."""
        storage_ids = dict(self.storage_ids)
        storage_ids[instance] = storage_id
        addresses = dict(self.addresses)
        addresses[instance] = address
        return Configuration(0, storage_ids, False, addresses)

    def without(self, instance: str) -> 'Configuration':
        """Return a non-final copy with a voter removed."""
        storage_ids = dict(self.storage_ids)
        storage_ids.pop(instance, None)
        addresses = dict(self.addresses)
        addresses.pop(instance, None)
        return Configuration(0, storage_ids, False, addresses)

    def finalized(self) -> 'Configuration':
        """Return the same voters as a final configuration."""
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
        """Decode a configuration; raise ConfigurationError if invalid."""
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
    """The configurations in the log and the quorums they require."""

    def __init__(self, names: tuple[str, ...]):
        self.names = names
        # Whether a majority of the founders may begin a log, instead of all.
        self.majority_founds = False
        self.history: list[Configuration] = []

    def record_appended(self, configuration: Configuration) -> None:
        self.history.append(configuration)

    def truncate_from(self, index: int) -> None:
        """Remove the configurations of truncated entries."""
        self.history = [c for c in self.history if c.index < index]

    def reset(self, configuration: Configuration | None) -> None:
        """Replace the history by the configuration of a snapshot."""
        self.history = [configuration] if configuration else []

    def restart_from(self, configuration: Configuration | None) -> None:
        """Start from the configuration of a snapshot and keep later ones."""
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
        """Return the current or, before bootstrap, the initial voters."""
        if not self.history:
            return set(self.names)
        return {n for c in self.active for n in c.storage_ids}

    @property
    def active(self) -> list[Configuration]:
        """Return the configurations in force, newest first.

        These are the last final configuration and all after it.
        """
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
        """Return whether ``present`` is a quorum of each active one."""
        active = self.active
        if not active:
            return self.can_bootstrap(present)
        return all(c.has_majority(present) for c in active)

    def can_bootstrap(self, present: Mapping[str, str]) -> bool:
        """Return whether enough founders are present to begin a log."""
        founders = sum(name in present for name in self.names)
        if self.majority_founds:
            return founders > len(self.names) // 2
        return founders == len(self.names)

    def first_configuration(
        self, votes: Mapping[str, str], addresses: Mapping[str, str]
    ) -> Configuration:
        """Return the configuration that begins a log with these votes."""
        return Configuration(
            0,
            {name: votes.get(name, '') for name in self.names},
            addresses={n: a for n, a in addresses.items() if n in self.names},
        )

    def names_storage(self, instance: str, storage_id: str) -> bool:
        """Return whether the latest configuration names this storage."""
        latest = self.latest
        if latest is None:
            return False
        return latest.storage_ids.get(instance) == storage_id

    def counts_storage(self, instance: str, storage_id: str) -> bool:
        """Return whether any configuration in force names this storage."""
        return any(
            configuration.storage_ids.get(instance) == storage_id
            for configuration in self.active
        )
