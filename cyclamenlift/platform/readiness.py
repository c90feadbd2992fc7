"""Readiness endpoint of a daemon for the platform."""

from collections.abc import Callable

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import reject
from cyclamenlift.http.json_requests import send_json

READY_PATH = '/v1/ready'


class ReadinessEndpoint:
    """Answers 200 while ``is_ready`` returns True, otherwise 503."""

    def __init__(self, is_ready: Callable[[], bool]):
        self.is_ready = is_ready

    def handle(self, exchange: Exchange) -> None:
        """Handle a request on the readiness address."""
        if exchange.path.partition('?')[0] != READY_PATH:
            problem = Problem(ResultCode.NOT_FOUND, exchange.path[:100])
            reject(exchange, 404, problem)
        elif self.is_ready():
            send_json(exchange, 200)
        else:
            reject(exchange, 503, Problem(ResultCode.NO_CONFIGURATION))
