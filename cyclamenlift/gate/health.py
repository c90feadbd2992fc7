"""Asks the local target's health page, within the measuring budget.

Only the target's own daemon ever asks. The page may lag or mislead, so a
bad answer only moves callers elsewhere; it never refuses a call.
"""

import typing

from cyclamenlift.http.target import TargetRequest
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.conf.settings import DaemonSettings
    from cyclamenlift.gate.tasks import Gate
    from cyclamenlift.http.client import TargetClient

FAILURES_BEFORE_UNHEALTHY = 2
GOOD_STATUS = range(200, 400)


class HealthCheck:
    """One health request at a time, each ``health_seconds``."""

    def __init__(
        self,
        gate: 'Gate',
        client: 'TargetClient',
        settings: 'DaemonSettings',
    ):
        self.gate = gate
        self.client = client
        self.settings = settings
        self.failures = 0
        self.asked = 0
        self.call = None
        self.timer = None

    def start(self) -> None:
        """Begin asking; without a page the target counts as ready."""
        if not self.settings.health_path:
            self.gate.set_target_state(TargetState.READY)
            return
        self.ask()
        self.gate.scheduler.every(self.settings.health_seconds, self.ask)

    def ask(self) -> None:
        """Send one request, unless one is out or the budget is used up."""
        if self.call is not None:
            return
        if self.gate.rule and not self.gate.budget.take(self.gate.now()):
            return
        self.asked += 1
        request = TargetRequest(
            method='GET',
            path=self.settings.health_path,
            headers=[('host', self.settings.service)],
            body_length=0,
        )
        self.timer = self.gate.scheduler.after(
            self.settings.health_seconds, self.on_timeout
        )
        self.status = 0
        self.call = self.client.request(request, self)
        self.call.send_body(b'', True)

    def on_timeout(self) -> None:
        if self.call is not None:
            self.call.cancel()
            self.judge(False)

    def judge(self, good: bool) -> None:
        self.call = None
        self.timer.cancel()
        self.failures = 0 if good else self.failures + 1
        if good:
            self.gate.set_target_state(TargetState.READY)
        elif self.failures >= FAILURES_BEFORE_UNHEALTHY:
            self.gate.set_target_state(TargetState.UNHEALTHY)

    # -- listener of the target's answer -----------------------------------

    def on_head(self, status, _headers, _length) -> None:
        self.status = status

    def on_body(self, _data: bytes) -> None:
        """Take no notice of the page itself: only its status counts."""

    def on_end(self) -> None:
        self.judge(self.status in GOOD_STATUS)

    def on_drained(self) -> None:
        """Take no notice: the request has no body."""

    def on_failure(self, _failure) -> None:
        self.judge(False)
