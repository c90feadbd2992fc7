"""Asks the local target's health page, within the measuring budget.

Only the target's own daemon ever asks. The page may lag or mislead, so a
bad answer only moves callers elsewhere; it never refuses a call.
"""

import typing

import structlog

from cyclamenlift.gate.registration import Announcement
from cyclamenlift.http.dialects import parse_load
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.target import TargetRequest
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.conf.settings import DaemonSettings
    from cyclamenlift.gate.tasks import Gate
    from cyclamenlift.http.client import TargetClient

LOG = structlog.get_logger('health')
FAILURES_BEFORE_UNHEALTHY = 2
# How often health is asked for at least, in seconds.
HEALTH_ITSELF_SECONDS = 1.0
# How many periods old the load may be where no call waits for it: the gate
# asks before a call begins, so all that is told later is news to entries.
QUIET_PERIODS = 6.0
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
        self.asked_at = 0.0
        self.call = None
        self.timer = None
        self.status = 0

    def start(self) -> None:
        """Begin asking; without a page the target counts as ready.

        A target that announces itself is ready by its own word; until the
        document names its page there is nothing to ask.
        """
        if not self.path() and not self.gate.dialect.required_incarnation:
            self.gate.set_target_state(TargetState.READY)
            return
        self.gate.announcements.doubt_hooks.append(self.ask)
        self.gate.questions.ask = self.ask_now
        self.ask()
        self.gate.scheduler.every(self.settings.health_seconds, self.ask)

    def heard_lately(self) -> bool:
        """Tell whether an answer told of the load, so none need be asked.

        The page is still asked once a second, for health itself.
        """
        gate = self.gate
        now = gate.now()
        if not gate.dialect.load or gate.is_unknown():
            return False
        if now - self.asked_at >= HEALTH_ITSELF_SECONDS:
            return False
        age = now - gate.state.learning.pace.told_at
        return age < self.oldest_figure()

    def oldest_figure(self) -> float:
        """Return how old the target's load may grow before it is asked for.

        Calls that are held wait for the figure that ends a spell.
        """
        if self.gate.state.queue:
            return self.settings.health_seconds
        return QUIET_PERIODS * self.settings.health_seconds

    def path(self) -> str:
        """Return the health page: the document's or the settings' one."""
        rule = self.gate.rule
        if rule is not None and rule.health_path:
            return rule.health_path
        return self.settings.health_path

    def ask(self) -> None:
        """Send one request, unless one is out or the budget is used up."""
        if self.call is not None or not self.path():
            return
        if not self.heard_lately():
            self.ask_now()

    def ask_now(self) -> bool:
        """See to it that an answer is under way; False if it can't be."""
        if self.call is not None:
            return True
        if not self.path():
            return False
        if self.gate.rule and not self.gate.budget.take(self.gate.now()):
            return False
        self.asked += 1
        self.asked_at = self.gate.now()
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
        self.call = self.client.request(request, self)
        self.call.send_body(b'', True)
        return True

    def on_timeout(self) -> None:
        if self.call is not None:
            self.call.cancel()
            self.judge(False)

    def judge(self, good: bool) -> None:
        self.call = None
        self.timer.cancel()
        if self.gate.presence.absent:
            # Nobody is there to be well or ill.
            return
        if not good and self.gate.answers_well():
            # The page says otherwise than the answers: these count.
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
        self.gate.note_answer_head(headers)
        self.learn_target(headers)

    def learn_target(self, headers) -> None:
        """Learn from the page which target runs here.

        A daemon that starts beside a running target need not wait for its
        next announcement.
        """
        dialect = self.gate.dialect
        if not dialect.incarnation:
            return
        name = find_header(headers, dialect.incarnation)
        load = parse_load(find_header(headers, dialect.load))
        registration = self.gate.registration
        if not name or load is None or name == registration.incarnation:
            if name and name == registration.incarnation:
                registration.doubted = False
            return
        if self.status not in GOOD_STATUS:
            # It may be leaving, which only its announcement can tell.
            return
        self.gate.announce(
            Announcement(
                incarnation=name,
                service=self.gate.service,
                slots=load.slots,
            )
        )

    def on_body(self, _data: bytes) -> None:
        """Take no notice of the page itself: only its status counts."""

    def on_end(self) -> None:
        self.judge(self.status in GOOD_STATUS)
        self.gate.ends.note_running(self.asked_at)

    def on_drained(self) -> None:
        """Take no notice: the request has no body."""

    def on_failure(self, _failure) -> None:
        self.judge(False)
