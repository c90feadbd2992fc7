"""Run a stand-in target: ``python -m cyclamenlift.standins.target``.

It prints one JSON line ``{"address": "host:port"}`` once it listens, and
exits on SIGTERM, SIGINT or at the end of its lifetime.
"""

import asyncio
import json
import signal
import sys

import fire

from cyclamenlift.standins.connection import TargetConnection
from cyclamenlift.standins.loops import run_precisely
from cyclamenlift.standins.service import Service
from cyclamenlift.standins.service import TargetPlan


async def start_target(
    plan: TargetPlan, host: str = '127.0.0.1', port: int = 0
) -> tuple[asyncio.Server, Service, str]:
    """Start listening; return the server, its service and ``host:port``."""
    service = Service(plan)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: TargetConnection(service), host, port, backlog=1024
    )
    bound = server.sockets[0].getsockname()
    return server, service, f'{bound[0]}:{bound[1]}'


async def serve(
    plan: TargetPlan, host: str, port: int, lifetime: float
) -> None:
    """Serve until a signal or the end of the lifetime."""
    server, _, address = await start_target(plan, host, port)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    sys.stdout.write(json.dumps({'address': address}) + '\n')
    sys.stdout.flush()
    try:
        await asyncio.wait_for(stop_requested.wait(), lifetime)
    except TimeoutError:
        pass
    server.close()


def parse_path_ms(text: str) -> dict[str, float]:
    """Parse service times by path prefix.

    >>> parse_path_ms('/upload=50,/slow=100')
    {'/upload': 50.0, '/slow': 100.0}
    """
    pairs = [part.split('=') for part in text.split(',') if part]
    return {prefix: float(value) for prefix, value in pairs}


def main(
    port: int = 0,
    host: str = '127.0.0.1',
    name: str = 'target',
    slots: int = 20,
    max_connections: int = 260,
    queue_limit: int = 10_000,
    service_ms: float = 5.0,
    sigma: float = 0.5,
    path_ms: str = '',
    answer_bytes: int = 256,
    open_ms: float = 0.0,
    seed: int = 1,
    end_path: str = '',
    end_ms: float = 40.0,
    lifetime: float = 600.0,
) -> None:
    """Run one stand-in target.

    Args:
        port: TCP port, 0 for a free one.
        host: Address to listen on.
        name: Name of the target in responses and counters.
        slots: Concurrent calls; further ones wait in FIFO order.
        max_connections: Limit; further connections are closed at once.
        queue_limit: Waiting calls; further ones get a 503.
        service_ms: Mean service time.
        sigma: Shape of the lognormal service time, 0 for constant.
        path_ms: Means by path prefix, such as /upload=50,/slow=100.
        answer_bytes: Payload size; ?size= of a call overrides it.
        open_ms: Delay before a new connection is served.
        seed: Seed of all random numbers.
        end_path: Calls with this path prefix end the process.
        end_ms: Time from the start of such a call to that end.
        lifetime: Seconds after which the process exits by itself.
    """
    plan = TargetPlan(
        name=str(name),
        slots=slots,
        max_connections=max_connections,
        queue_limit=queue_limit,
        service_ms=service_ms,
        sigma=sigma,
        path_ms=parse_path_ms(path_ms),
        answer_bytes=answer_bytes,
        open_ms=open_ms,
        seed=seed,
        end_path=end_path,
        end_ms=end_ms,
    )
    run_precisely(serve(plan, host, port, lifetime))


if __name__ == '__main__':
    fire.Fire(main)
