"""Counters of a stand-in target."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Upload:
    """One request body that arrived completely."""

    path: str
    key: str
    size: int
    sha256: str


class Counters:
    """Calls, runs and uploads, counted by the target itself."""

    def __init__(self, name: str):
        self.name = name
        self.calls: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.answers: collections.Counter[int] = collections.Counter()
        self.uploads: list[Upload] = []
        self.upload_bytes = 0
        self.health_requests = 0
        self.load_requests = 0
        self.left_waiting = 0
        self.running = 0
        self.waiting = 0
        self.max_running = 0
        self.connections = 0
        self.open_connections = 0
        self.refused_connections = 0

    def count_run(self, method: str, path: str, key: str) -> None:
        """Count a call when it acquires a slot."""
        path_only = path.partition('?')[0]
        self.calls[f'{method} {path_only}'] += 1
        if key:
            self.runs_by_key[key] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)

    def add_upload(self, upload: Upload) -> None:
        self.uploads.append(upload)
        self.upload_bytes += upload.size

    def doubled(self) -> int:
        """Return the number of keys that ran more than once on this target."""
        return sum(1 for runs in self.runs_by_key.values() if runs > 1)

    def as_json(self, slots: int, with_keys: bool) -> dict:
        """Return the JSON value for ``GET /_standin/counters``."""
        value = {
            'target': self.name,
            'slots': slots,
            'calls': dict(self.calls),
            'runs': sum(self.calls.values()),
            'answers': {str(k): v for k, v in self.answers.items()},
            'keys': len(self.runs_by_key),
            'doubled': self.doubled(),
            'uploads': [dataclasses.asdict(item) for item in self.uploads],
            'upload_bytes': self.upload_bytes,
        }
        for name in (
            'health_requests',
            'load_requests',
            'left_waiting',
            'running',
            'waiting',
            'max_running',
            'connections',
            'open_connections',
            'refused_connections',
        ):
            value[name] = getattr(self, name)
        if with_keys:
            value['runs_by_key'] = dict(self.runs_by_key)
        return value
