"""The record of a case: one line for everything that was seen."""

import json
import pathlib
import time


class Record:
    """Writes ``record.txt`` with the seconds since the case began."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / 'record.txt').open('w')
        self.began = time.monotonic()

    def write(self, event: str, **fields) -> None:
        seconds = time.monotonic() - self.began
        text = ' '.join(f'{k}={json.dumps(v)}' for k, v in fields.items())
        self.file.write(f'{seconds:9.3f} {event} {text}\n')
        self.file.flush()

    def at(self, moment: float) -> float:
        """Return a monotonic time as seconds of the record."""
        return round(moment - self.began, 3)

    def close(self) -> None:
        self.file.close()
