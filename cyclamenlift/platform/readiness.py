"""The platform's question whether callers may be sent to a daemon."""

from collections.abc import Callable

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import reject
from cyclamenlift.http.json_requests import send_json

READY_PATH = '/v1/ready'


class Readiness:
    """Answers 200 while ``is_ready`` says so, else 503."""

    def __init__(self, is_ready: Callable[[], bool]):
        self.is_ready = is_ready

    def take(self, exchange: Exchange) -> None:
        """Take one request on the readiness address."""
        if exchange.path.partition('?')[0] != READY_PATH:
            problem = Problem(ResultCode.NOT_FOUND, exchange.path[:100])
            reject(exchange, 404, problem)
        elif self.is_ready():
            send_json(exchange, 200)
        else:
            reject(exchange, 503, Problem(ResultCode.NO_CONFIGURATION))
