"""Helpers for benchmarks that run a cluster of control instances."""

import json
import os
import pathlib

from cyclamenlift.standins.fleet import ControlHandle
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import FleetError
from cyclamenlift.standins.fleet import request_json
from cyclamenlift.standins.fleet import wait_until

WAIT_SECONDS = 30.0
ACCEPTED = 5000
KIBIBYTES_IN_MEGABYTE = 1024
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
USER_TIME_FIELD = 11


def document(deadline_ms: int = 1000) -> str:
    """Return a small event document that is valid until 2036."""
    service = {'name': 'sale', 'deadline_ms': deadline_ms}
    value = {
        'event': 'bench',
        'starts_at': '2026-01-01T00:00:00Z',
        'ends_at': '2036-01-01T00:00:00Z',
        'services': [service],
    }
    return json.dumps(value)


def find_leader(fleet: Fleet) -> ControlHandle | None:
    """Return the instance whose leadership a majority confirms, if any."""
    for control in fleet.controls:
        answer = request_json(control.admin, '/api/document')
        if answer and answer.get('confirmed'):
            return control
    return None


def wait_for_leader(fleet: Fleet) -> ControlHandle:
    return wait_until(
        lambda: find_leader(fleet), WAIT_SECONDS, 'an instance leads'
    )


def publish(leader: ControlHandle, base: int, text: str) -> None:
    """Publish a document at the leader; raise FleetError if refused."""
    change = {
        'change_id': f'bench-{base}',
        'base_version': base,
        'document': text,
    }
    answer = request_json(leader.admin, '/api/publish', 'POST', change) or {}
    if answer.get('code') != ACCEPTED:
        raise FleetError(f'the change was not accepted: {answer}')


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, value = line.partition(':')
        if name == 'VmRSS':
            return int(value.split()[0]) / KIBIBYTES_IN_MEGABYTE
    return 0.0


def processor_seconds(pid: int) -> float:
    """Return the CPU time, user and system, of a process."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[USER_TIME_FIELD + 1])
    return ticks / TICKS_PER_SECOND
