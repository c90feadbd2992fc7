"""Polls the local target's health page, within the probe budget.

Only the target's own daemon polls it. The page may be stale or wrong, so a
failure only directs callers elsewhere; it never refuses a call.
"""

import typing

import structlog

from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import AnnouncementOutcome
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.target import TargetRequest
from cyclamenlift.http.target_reports import parse_load
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.conf.settings import DaemonSettings
    from cyclamenlift.gate.tasks import Gate
    from cyclamenlift.http.client import TargetClient

LOG = structlog.get_logger('health')
FAILURES_BEFORE_UNHEALTHY = 2
# The page is polled for health at least this often, in seconds.
MAX_POLL_INTERVAL_SECONDS = 1.0
# Maximum age of the load, in periods, while no call waits for it. The gate
# queries the pace before a call begins, so a later figure only serves to
# inform entries.
MAX_LOAD_AGE_PERIODS = 6.0
GOOD_STATUS = range(200, 400)
# A longer page is no answer: it may have no end.
MAX_PAGE_BYTES = 256 * 1024


class HealthCheck:
    """Polls the page every ``health_seconds``, one request at a time."""

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
        self.requests_sent = 0
        self.request_sent_at = 0.0
        self.call = None
        self.timer = None
        self.status = 0
        self.page_bytes = 0

    def start(self) -> None:
        """Begin polling; without a page the target counts as ready.

        A target that announces itself reports its own readiness; until the
        document configures its page there is nothing to poll.
        """
        if not self.path() and not self.gate.dialect.required_incarnation:
            self.gate.set_target_state(TargetState.READY)
            return
        self.gate.announcements.doubt_hooks.append(self.poll)
        self.gate.pace_queries.send_query = self.poll_now
        self.poll()
        self.gate.scheduler.every(self.settings.health_seconds, self.poll)

    def is_load_recent(self) -> bool:
        """Return whether a recent answer reported the load, so no poll is due.

        The page is still polled once a second to check health itself.
        """
        gate = self.gate
        now = gate.now()
        if not gate.dialect.load or gate.is_target_unknown():
            return False
        if now - self.request_sent_at >= MAX_POLL_INTERVAL_SECONDS:
            return False
        age = now - gate.state.performance.pace.reported_at
        return age < self.max_load_age()

    def max_load_age(self) -> float:
        """Return the age from which the target's load is polled again.

        Calls on hold wait for the figure that ends a slowdown, unless a
        declared limit is what they wait for.
        """
        state = self.gate.state
        if state.queue and not state.start_limits.declared.wait(
            self.gate.now()
        ):
            return self.settings.health_seconds
        return MAX_LOAD_AGE_PERIODS * self.settings.health_seconds

    def path(self) -> str:
        """Return the path of the page, from the document or the settings."""
        rule = self.gate.rule
        if rule is not None and rule.health_path:
            return rule.health_path
        return self.settings.health_path

    def poll(self) -> None:
        """Poll unless a request is open or the load is recent."""
        if self.call is not None or not self.path():
            return
        if not self.is_load_recent():
            self.poll_now()

    def poll_now(self) -> bool:
        """Make sure a request is open; False if none can be sent."""
        if self.call is not None:
            return True
        if not self.path():
            return False
        if self.gate.rule and not self.gate.budget.take(self.gate.now()):
            return False
        self.requests_sent += 1
        self.request_sent_at = self.gate.now()
        request = TargetRequest(
            method='GET',
            path=self.path(),
            headers=[('host', self.settings.service)],
            body_length=0,
        )
        self.timer = self.gate.scheduler.after(
            self.settings.health_timeout_seconds, self.on_timeout
        )
        self.status = 0
        self.page_bytes = 0
        self.call = self.client.request(request, self)
        self.call.send_body(b'', True)
        return True

    def on_timeout(self) -> None:
        if self.call is not None:
            self.call.cancel()
            self.record_result(False)

    def record_result(self, good: bool) -> None:
        self.call = None
        self.timer.cancel()
        if self.gate.presence.absent:
            # There is no target whose health could be recorded.
            return
        if not good and self.gate.is_answering():
            # Successful answers to calls overrule a failing page.
            LOG.info('health_page_overruled', status=self.status)
            good = True
        self.failures = 0 if good else self.failures + 1
        if self.gate.awaits_target():
            return
        if good:
            self.gate.set_target_state(TargetState.READY)
        elif self.failures >= FAILURES_BEFORE_UNHEALTHY:
            self.gate.set_target_state(TargetState.UNHEALTHY)

    # -- listener of the target's answer -----------------------------------

    def on_head(self, status, headers, _length) -> None:
        self.status = status
        self.gate.reports.note_page(headers, self.request_sent_at)
        if self.learn_incarnation(headers):
            self.gate.reports.note_identifying_page(
                headers, self.request_sent_at
            )

    def learn_incarnation(self, headers) -> bool:
        """Learn the target's incarnation from its health page.

        This way a daemon that starts beside a running target need not wait for
        the target's next announcement. Returns whether it is another one than
        was known.
        """
        dialect = self.gate.dialect
        if not dialect.incarnation:
            return False
        name = find_header(headers, dialect.incarnation)
        load = parse_load(find_header(headers, dialect.load))
        registration = self.gate.registration
        if not name or load is None or name == registration.incarnation:
            if name and name == registration.incarnation:
                registration.doubted = False
            return False
        if self.status not in GOOD_STATUS:
            # It may be departing, which only its announcement tells.
            return False
        outcome = self.gate.announce(
            Announcement(
                incarnation=name,
                service=self.gate.service,
                slots=load.slots,
            )
        )
        return outcome is AnnouncementOutcome.NEW

    def on_body(self, data: bytes) -> None:
        """Ignore the content of the page, but not that it has no end."""
        self.page_bytes += len(data)
        if self.page_bytes <= MAX_PAGE_BYTES:
            return
        LOG.warning('health_page_too_long', status=self.status)
        self.call.cancel()
        self.record_result(False)

    def on_end(self) -> None:
        self.record_result(self.status in GOOD_STATUS)
        self.gate.termination.note_alive(self.request_sent_at)

    def on_drained(self) -> None:
        """Do nothing: the request has no body."""

    def on_failure(self, _failure) -> None:
        self.record_result(False)
