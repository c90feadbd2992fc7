"""Helpers for small requests with JSON responses."""

from collections.abc import Callable
import json

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange

JSON_TYPE = ('Content-Type', 'application/json')


def read_body(
    exchange: Exchange, max_size: int, done: Callable[[bytes], None]
) -> None:
    """Read a body of at most ``max_size`` bytes, then call ``done`` once."""
    parts: list[bytes] = []

    def on_body(data: bytes, last: bool) -> None:
        parts.append(data)
        if sum(map(len, parts)) > max_size:
            refuse_size(exchange, max_size)
        elif last:
            done(b''.join(parts))

    exchange.on_broken = exchange.respond_problem
    if (exchange.body_length or 0) > max_size:
        refuse_size(exchange, max_size)
    else:
        exchange.read_body(on_body)


def refuse_size(exchange: Exchange, max_size: int) -> None:
    detail = f'over {max_size} bytes'
    exchange.respond_problem(Problem(ResultCode.BODY_TOO_LARGE, detail))


def send_json(
    exchange: Exchange,
    status: int,
    value: object = None,
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Respond with a status and a JSON value, ``{}`` by default."""
    body = json.dumps({} if value is None else value).encode()
    exchange.respond(status, [JSON_TYPE, *headers], body)


def reject(exchange: Exchange, status: int, problem: Problem) -> None:
    """Respond with an explicit status and a numbered error."""
    value = {
        'error': problem.line(),
        'code': int(problem.code),
    }
    send_json(exchange, status, value)
