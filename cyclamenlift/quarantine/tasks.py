"""Shares reports of ended targets with all other instances.

The instance that sees a target end sends a report to several members, and each
that receives it forwards it to some more. Each membership packet carries a
digest of its sender's reports, so an instance that missed some, or has just
started, requests them.
"""

from collections.abc import Mapping
import random
import typing

import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.quarantine.state import Assessment
from cyclamenlift.quarantine.state import batched
from cyclamenlift.quarantine.state import EndHistory
from cyclamenlift.quarantine.state import QuarantineStatus
from cyclamenlift.quarantine.state import Report
from cyclamenlift.quarantine.state import ServiceRequest
from cyclamenlift.quarantine.wire import from_wire
from cyclamenlift.quarantine.wire import MAX_FINGERPRINTS
from cyclamenlift.quarantine.wire import to_wire
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from cyclamenlift.wire.gen.protocol.ttypes import EndsAnswer
from cyclamenlift.wire.gen.protocol.ttypes import EndsRequest

if typing.TYPE_CHECKING:
    from cyclamenlift.membership.packets import EndsDigest
    from cyclamenlift.membership.tasks import Membership
    from cyclamenlift.wire.tasks import Link
    from cyclamenlift.wire.tasks import PeerNetwork

LOG = structlog.get_logger('quarantine')
# Number of members that a report is sent to by its origin and by each
# receiver. With three each, nineteen of twenty members get it this way; the
# digest comparison brings it to the others.
FIRST_FANOUT = 8
FORWARD_FANOUT = 3
# Minimum and maximum delay between requests for missing reports, in seconds.
# The delay doubles after each answer without new reports.
MIN_REQUEST_INTERVAL = 0.25
MAX_REQUEST_INTERVAL = 30.0
# Number of reports in one answer: about 20 KB, 0.1 s on a link of 2 Mbit/s.
MAX_REPORTS_SENT = 64
# How long a starting daemon waits for the reports of others, in seconds.
SYNC_SECONDS = 1.0
# How long after its start an instance does not trust daemons that have no
# reports either, in seconds: they may have started at the same time.
DISTRUST_SECONDS = 0.25
FORGET_SECONDS = 10.0
# Many instances learn at the same time that a request was answered: each waits
# a random delay up to this, in seconds, in case another one reports it first.
MAX_LIFT_DELAY = 0.05
MAX_INCARNATION_LENGTH = 60


class Quarantine:
    """One instance's quarantine; without peers it uses only local reports."""

    def __init__(self, scheduler, instance: str = '', rng=None):
        self.scheduler = scheduler
        self.clock = scheduler.clock
        self.instance = instance
        self.rng = rng or random.Random()
        self.history = EndHistory()
        self.network: 'PeerNetwork | None' = None
        self.membership: 'Membership | None' = None
        self.next_request_at = 0.0
        self.request_interval = MIN_REQUEST_INTERVAL
        self.synced = False
        self.is_missing_reports = False
        self.sync_deadline = 0.0
        self.distrust_deadline = 0.0

    def join(self, network: 'PeerNetwork', membership: 'Membership') -> None:
        """Start sharing reports with the other members."""
        self.network = network
        self.membership = membership
        self.sync_deadline = self.now() + SYNC_SECONDS
        self.distrust_deadline = self.now() + DISTRUST_SECONDS
        network.subscribe(EndsRequest, self.on_request)
        network.subscribe(EndsAnswer, self.on_answer)
        membership.subscribe_ends(self.on_report, self.on_digest)
        self.scheduler.every(FORGET_SECONDS, self.forget_old)

    # -- queries ----------------------------------------------------------

    def now(self) -> float:
        return self.clock.now()

    def assess(self, service: str, fingerprint: bytes) -> Assessment:
        """Return the status of a request to a service."""
        return self.history.assess(service, fingerprint, self.now())

    def is_synced(self) -> bool:
        """Return whether the reports that others had at the start are here."""
        return self.synced or self.now() >= self.sync_deadline

    def is_behind(self) -> bool:
        """Return whether reports that others had at the start are due.

        If no member has announced any reports, calls must not wait.
        """
        return self.is_missing_reports and not self.is_synced()

    # -- commands ---------------------------------------------------------

    def note_answer(self, service: str, fingerprint: bytes) -> None:
        """Record that a target ran and answered a request."""
        if self.history.note_answer(service, fingerprint, self.now()):
            self.schedule_lift(service, [fingerprint])

    def note_end(
        self, service: str, ran: Mapping[bytes, float], incarnation: str
    ) -> list[EndReport]:
        """Record that the local target ended; return the reports sent.

        ``ran`` maps the requests that it was running to their start times.
        """
        now = self.now()
        suspects = [
            (fingerprint, begun_at)
            for fingerprint, begun_at in ran.items()
            if not self.history.was_answered(
                ServiceRequest(service, fingerprint), now
            )
        ]
        name = f'{self.instance}/{incarnation[:MAX_INCARNATION_LENGTH]}'
        name = f'{name}/{self.clock.unix_ms()}'
        reports = []
        for number, part in enumerate(batched(suspects, MAX_FINGERPRINTS)):
            fingerprints, begun_at = zip(*part, strict=True)
            report_id = f'{name}/{number}'
            reports.append(
                Report(report_id, service, fingerprints, now, begun_at)
            )
        for report in reports:
            self.accept(report, FIRST_FANOUT)
        return [to_wire(report, now) for report in reports]

    def lift(self, fingerprints: list[bytes], service: str = '') -> None:
        """Clear these requests of all earlier ends, at all instances.

        Without a service this applies to all services.
        """
        now = self.now()
        number = self.rng.getrandbits(48)
        name = f'{self.instance}/lifted/{number:x}'
        for part_number, part in enumerate(
            batched(fingerprints, MAX_FINGERPRINTS)
        ):
            report_id = f'{name}/{part_number}'
            report = Report(report_id, service, part, now, lifted=True)
            self.accept(report, FIRST_FANOUT)

    def accept(self, report: Report, fanout: int) -> bool:
        """Store and forward a new report; return False if it is known."""
        if self.history.contains(report):
            return False
        cleared = self.history.add(report, self.now())
        self.log_accepted(report)
        if self.membership is not None:
            self.membership.set_ends_digest(self.history.digest)
            message = to_wire(report, self.now())
            own = fanout == FIRST_FANOUT
            self.membership.spread_ends(message, fanout, own)
        if cleared:
            self.schedule_lift(report.service, cleared)
        return True

    def log_accepted(self, report: Report) -> None:
        """Log the effect of a report on its requests."""
        names = [f.hex() for f in report.fingerprints]
        if report.lifted:
            LOG.info(
                'request_lifted',
                report=report.report_id,
                fingerprints=names,
            )
            return
        now = self.now()
        for fingerprint in report.fingerprints:
            assessment = self.history.assess(report.service, fingerprint, now)
            if assessment.status is QuarantineStatus.QUARANTINED:
                LOG.warning(
                    'request_quarantined',
                    fingerprint=fingerprint.hex(),
                    service=report.service,
                    reports=assessment.report_ids,
                    age_ms=int((now - report.at) * 1000),
                    seconds_left=round(assessment.until - now, 1),
                )

    def schedule_lift(self, service: str, fingerprints: list[bytes]) -> None:
        """Report that requests were answered, unless another instance does."""
        planned_at = self.now()

        def lift_remaining() -> None:
            left = [
                fingerprint
                for fingerprint in fingerprints
                if not self.was_lifted(service, fingerprint, planned_at)
            ]
            if left:
                self.lift(left, service)

        self.scheduler.after(
            self.rng.uniform(0.0, MAX_LIFT_DELAY), lift_remaining
        )

    def was_lifted(
        self, service: str, fingerprint: bytes, since: float
    ) -> bool:
        """Return whether a request was reported as cleared since then."""
        return any(
            report.lifted
            and report.service in ('', service)
            and report.at >= since - MAX_LIFT_DELAY
            and fingerprint in report.fingerprints
            for report in reversed(self.history.reports.values())
        )

    def forget_old(self) -> None:
        self.history.forget_old(self.now())
        if self.membership is not None:
            self.membership.set_ends_digest(self.history.digest)

    # -- messages ---------------------------------------------------------

    def on_report(
        self, message: EndReport, fanout: int = FORWARD_FANOUT
    ) -> bool:
        """Handle a report of a peer; return whether it was new."""
        report = from_wire(message, self.now())
        if report is None:
            LOG.warning('report_unsound', report=str(message)[:200])
            return False
        return self.accept(report, fanout)

    def on_digest(self, seen: 'EndsDigest') -> None:
        """Compare a peer's digest with the local one."""
        if seen.digest == self.history.digest:
            self.on_same_digest(seen)
            return
        self.is_missing_reports = True
        now = self.now()
        if now < self.next_request_at:
            return
        try:
            address = Address.parse(seen.peer_address)
        except ValueError:
            peer = seen.peer_address[:100]
            LOG.warning('reports_peer_unreadable', address=peer)
            return
        self.next_request_at = now + self.request_interval
        self.request_interval = min(
            MAX_REQUEST_INTERVAL, 2 * self.request_interval
        )
        self.network.send(address, EndsRequest(self.history.keys()))

    def on_same_digest(self, seen: 'EndsDigest') -> None:
        """Handle a peer whose digest equals the local one.

        Daemons that start together have no reports at first; control instances
        were running before.
        """
        peers_trusted = self.now() >= self.distrust_deadline
        if seen.digest or seen.from_control or peers_trusted:
            self.synced = True

    def on_request(self, link: 'Link', request: EndsRequest) -> None:
        """Send a peer the reports that it lacks, the newest first."""
        unknown = self.history.unknown_to(request.known or ())
        unknown.sort(key=lambda report: report.at, reverse=True)
        now = self.now()
        given = [to_wire(report, now) for report in unknown[:MAX_REPORTS_SENT]]
        link.send(EndsAnswer(given))

    def on_answer(self, _link: 'Link', answer: EndsAnswer) -> None:
        """Store a peer's reports, which other members have as well."""
        are_new = [
            self.on_report(message, 0) for message in answer.reports or ()
        ]
        if any(are_new):
            self.request_interval = MIN_REQUEST_INTERVAL
            self.next_request_at = 0.0
        self.synced = True
