"""Helpers that start a small fleet of real processes for system tests."""

import json
import socket
import threading
import time

from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import FleetError
from cyclamenlift.standins.fleet import http_request
from cyclamenlift.standins.fleet import wait_until

WAIT_SECONDS = 30.0
SERVICE = 'prices'
FAST_GOSSIP = 0.2


def document(**fields) -> dict:
    """Return an event document whose only service is ``prices``."""
    service = {
        'name': SERVICE,
        'deadline_ms': 4000,
        'operations': [{'method': 'POST', 'path': '/*'}],
        **fields,
    }
    return {
        'event': 'e',
        'starts_at': '2026-01-01T00:00:00Z',
        'ends_at': '2036-01-01T00:00:00Z',
        'services': [service],
    }


def publish(fleet: Fleet, value: dict, base: int, change: str) -> None:
    """Publish with the command line; wait until every daemon applies it."""
    path = fleet.folder / f'{change}.json'
    path.write_text(json.dumps(value))
    wait_for_controls(fleet)
    done = fleet.command(
        'event',
        'publish',
        str(path),
        f'--base={base}',
        f'--change_id={change}',
        f'--console={fleet.consoles()}',
    )
    assert done.returncode == 0, done.stdout + done.stderr
    alive = [d for d in fleet.daemons if d.running.alive()]
    fleet.wait_for_version(base + 1, len(alive))


def wait_for_controls(fleet: Fleet) -> None:
    """Wait for all control instances; on a timeout, raise with their logs."""
    try:
        wait_until(
            lambda: all(c.status() for c in fleet.controls),
            WAIT_SECONDS,
            'control instances answer',
        )
    except FleetError as error:
        not_ready = [c.running for c in fleet.controls if not c.status()]
        logs = [f'{r.name}: {r.log.read_text()[-2000:]}' for r in not_ready]
        raise FleetError('\n'.join([str(error), *logs])) from error


def make_fleet(fleet: Fleet, targets: int, slots: int = 4, **options) -> None:
    """Start three control instances, targets with daemons, and an entry."""
    fleet.start_controls(3)
    for number in range(targets):
        name = f'prices-{number}'
        target = fleet.start_target(
            name, SERVICE, slots, service_ms=5, seed=number + 1, **options
        )
        fleet.start_daemon(
            name,
            f'dc-{number % 2}',
            target,
            health_path='/health',
            gossip_seconds=FAST_GOSSIP,
        )
    fleet.start_daemon('entry', 'dc-0', gossip_seconds=FAST_GOSSIP)


def entry_of(fleet: Fleet):
    """Return the entry daemon: started last, without a target."""
    return fleet.daemons[-1]


def call(address: str, method='GET', path='/prices', body=b'', key=''):
    """Send one request; return its status, result code and body."""
    headers = {'Host': SERVICE, 'X-Request-Id': 'r1'}
    if key:
        headers['Idempotency-Key'] = key
    status, fields, data = http_request(address, method, path, body, headers)
    return status, int(fields.get('cyclamenlift-result', '0')), data


def runs_of(fleet: Fleet, key: str) -> int:
    """Return how often the running targets executed an idempotency key."""
    return sum(
        target.counters()['runs_by_key'].get(key, 0)
        for target in fleet.targets
        if target.running.alive()
    )


def in_background(function, *arguments, **keywords):
    """Run ``function`` in a thread; return a callable that awaits the result.

    An ``OSError`` is returned as the result.
    """
    results = []

    def run() -> None:
        try:
            results.append(function(*arguments, **keywords))
        except OSError as error:
            results.append(error)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()

    def result():
        thread.join(WAIT_SECONDS)
        return results[0]

    return result


class SlowUpload:
    """An upload that sends the second half of its body in ``finish``."""

    def __init__(self, address: str, body: bytes, key: str):
        host, _, port = address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)), 10)
        self.body = body
        head = (
            f'POST /uploads HTTP/1.1\r\nHost: {SERVICE}\r\n'
            f'X-Request-Id: up\r\nIdempotency-Key: {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.split_at = len(body) // 2
        self.sock.sendall(head.encode() + body[: self.split_at])

    def finish(self) -> bytes:
        """Send the rest of the body and return the response."""
        self.sock.sendall(self.body[self.split_at :])
        self.sock.settimeout(WAIT_SECONDS)
        data = b''
        deadline = time.monotonic() + WAIT_SECONDS
        while b'"received_sha256"' not in data:
            assert time.monotonic() < deadline
            chunk = self.sock.recv(65536)
            if not chunk:
                break
            data += chunk
        self.sock.close()
        return data
