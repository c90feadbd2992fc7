"""Settings files, configurations and processes for adapter tests."""

import json
import os
import pathlib
import random
import socket
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]


def configuration(version: int = 7, **changes) -> dict:
    """Return a complete configuration in the platform's format."""
    value = {
        'version': version,
        'services': [service('prices'), service('fees')],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15s',
        },
        'virtual_hosts': [
            {'host': 'a.example', 'path_rules': [route('r-1', '/p/')]},
            {
                'host': 'b.example',
                'path_rules': [
                    route('r-2', '/f/', 'non_idempotent', service='fees')
                ],
            },
        ],
    }
    value.update(changes)
    return value


def service(name: str) -> dict:
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 260,
        'protocol': 'h1',
        'tls': False,
    }


def route(name: str, prefix: str, kind: str = 'idempotent', **changes) -> dict:
    return {
        'name': name,
        'path_prefix': prefix,
        'kind': kind,
        'timeout': '1200ms',
        'target_latency': '500ms',
        'priority': 2,
        'service': 'prices',
        'attempts': 2,
        **changes,
    }


def as_body(value: dict) -> bytes:
    return json.dumps(value).encode()


def random_host() -> str:
    """Return a random loopback address, so that hosts can share a port."""
    return '127.' + '.'.join(str(random.randrange(1, 255)) for _ in range(3))


def free_ports(host: str, count: int) -> list[int]:
    """Return currently unused ports."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def settings_lines(**changes: str) -> str:
    """Return the settings file of a daemon with some fields changed."""
    host = random_host()
    outbound, ready, control, app, inner = free_ports(host, 5)
    fields = {
        'node': 'side-1',
        'ip': host,
        'zone': 'here',
        'listen.outbound': f'{host}:{outbound}',
        'listen.ready': f'{host}:{ready}',
        'listen.control': f'{host}:{control}',
        'internal_ports': f'{inner},{inner + 1}',
        'seeds': f'{host}:{control}',
        'bootstrap': 'true',
        'fault_tolerance.machines': '2',
        'bounds': 'grace=6s,retry_budget_ratio=0.2,budget_window=10s,'
        'budget_slack=62',
        'app_addr': f'{host}:{app}',
        'service': 'prices',
        **changes,
    }
    return ''.join(f'{name}={value}\n' for name, value in fields.items())


def start_program(kind: str, path: pathlib.Path) -> subprocess.Popen:
    """Start a program of the adapter with a settings file."""
    environment = {**os.environ, 'CYCLAMENLIFT_BOOT': str(path)}
    return subprocess.Popen(
        [sys.executable, '-m', 'cyclamenlift.platform', kind],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def read_until(process: subprocess.Popen, word: str) -> str:
    """Return the first line of output that contains ``word``."""
    for line in process.stdout:
        if word in line:
            return line
    raise AssertionError(f'{word!r} is not in the output')
