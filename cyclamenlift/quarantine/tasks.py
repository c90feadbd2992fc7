"""Keeps requests that end targets away, together with all other instances.

Whoever sees a target end tells some members at once, and each that hears it
tells some more. Each packet of membership carries a digest of what its
sender knows, so whoever missed something, or has just started, asks for it.
"""

from collections.abc import Mapping
import random
import typing

import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.quarantine.state import Evidence
from cyclamenlift.quarantine.state import Judgement
from cyclamenlift.quarantine.state import Report
from cyclamenlift.quarantine.state import split
from cyclamenlift.quarantine.state import Standing
from cyclamenlift.quarantine.state import Subject
from cyclamenlift.quarantine.wire import from_wire
from cyclamenlift.quarantine.wire import MOST_FINGERPRINTS
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
# Members that are told at once, by the one who knows first and by each one
# that hears it: with three each, nineteen of twenty hear it so, and the
# digest brings it to the others.
FIRST_FANOUT = 8
FORWARD_FANOUT = 3
# How long to wait before it is asked again for what others know, in
# seconds; twice as long after each answer that brought nothing.
LEAST_ASK_SECONDS = 0.25
MOST_ASK_SECONDS = 30.0
# How many reports one answer gives: about 20 KB, 0.1 s on a link of
# 2 Mbit/s.
MOST_GIVEN = 64
# How long a starting daemon waits to learn what others know, in seconds.
SYNC_SECONDS = 1.0
# How long after its start it does not believe others that know nothing
# either, in seconds: they may have started with it.
ELDERS_SECONDS = 0.25
FORGET_SECONDS = 10.0
# Many know at the same time that a request was answered: each waits for up
# to this long, in seconds, whether another one has told it already.
LIFT_SECONDS = 0.05
MOST_INCARNATION = 60


class Quarantine:
    """One instance's part; alone it judges by what it sees itself."""

    def __init__(self, scheduler, instance: str = '', rng=None):
        self.scheduler = scheduler
        self.clock = scheduler.clock
        self.instance = instance
        self.rng = rng or random.Random()
        self.evidence = Evidence()
        self.network: 'PeerNetwork | None' = None
        self.membership: 'Membership | None' = None
        self.ask_again_at = 0.0
        self.ask_seconds = LEAST_ASK_SECONDS
        self.synced = False
        self.others_know_more = False
        self.sync_deadline = 0.0
        self.elders_deadline = 0.0

    def join(self, network: 'PeerNetwork', membership: 'Membership') -> None:
        """Share what is known with the other members from now on."""
        self.network = network
        self.membership = membership
        self.sync_deadline = self.now() + SYNC_SECONDS
        self.elders_deadline = self.now() + ELDERS_SECONDS
        network.subscribe(EndsRequest, self.on_request)
        network.subscribe(EndsAnswer, self.on_answer)
        membership.subscribe_ends(self.on_told, self.on_digest)
        self.scheduler.every(FORGET_SECONDS, self.forget_old)

    # -- queries ----------------------------------------------------------

    def now(self) -> float:
        return self.clock.now()

    def judge(self, service: str, fingerprint: bytes) -> Judgement:
        """Return how a request to a service is to be treated now."""
        return self.evidence.judge(service, fingerprint, self.now())

    def is_synced(self) -> bool:
        """Tell whether what others knew at our start is known here."""
        return self.synced or self.now() >= self.sync_deadline

    def is_behind(self) -> bool:
        """Tell whether what others knew at our start is on its way here.

        Where nobody has said that there is anything, calls must not wait.
        """
        return self.others_know_more and not self.is_synced()

    # -- commands ---------------------------------------------------------

    def note_answer(self, service: str, fingerprint: bytes) -> None:
        """Take it that a target ran a request and answered it."""
        if self.evidence.note_answer(service, fingerprint, self.now()):
            self.plan_lift(service, [fingerprint])

    def note_end(
        self, service: str, ran: Mapping[bytes, float], incarnation: str
    ) -> list[EndReport]:
        """Take it that the local target ended; return what was told.

        ``ran`` holds when it began each request that it was running.
        """
        now = self.now()
        accused = [
            (fingerprint, begun_at)
            for fingerprint, begun_at in ran.items()
            if not self.evidence.was_answered(
                Subject(service, fingerprint), now
            )
        ]
        name = f'{self.instance}/{incarnation[:MOST_INCARNATION]}'
        name = f'{name}/{self.clock.unix_ms()}'
        reports = []
        for number, part in enumerate(split(accused, MOST_FINGERPRINTS)):
            fingerprints, begun_at = zip(*part, strict=True)
            report_id = f'{name}/{number}'
            reports.append(
                Report(report_id, service, fingerprints, now, begun_at)
            )
        for report in reports:
            self.take(report, FIRST_FANOUT)
        return [to_wire(report, now) for report in reports]

    def lift(self, fingerprints: list[bytes], service: str = '') -> None:
        """Let what is known against these requests count no more, anywhere.

        Without a service this holds for all of them.
        """
        now = self.now()
        number = self.rng.getrandbits(48)
        name = f'{self.instance}/lifted/{number:x}'
        for part_number, part in enumerate(
            split(fingerprints, MOST_FINGERPRINTS)
        ):
            report_id = f'{name}/{part_number}'
            report = Report(report_id, service, part, now, lifted=True)
            self.take(report, FIRST_FANOUT)

    def take(self, report: Report, fanout: int) -> bool:
        """Take a report that is news, and pass it on; False if it is not."""
        if self.evidence.knows(report):
            return False
        cleared = self.evidence.add(report, self.now())
        self.log_taken(report)
        if self.membership is not None:
            self.membership.set_ends_digest(self.evidence.digest)
            told = to_wire(report, self.now())
            own = fanout == FIRST_FANOUT
            self.membership.spread_ends(told, fanout, own)
        if cleared:
            self.plan_lift(report.service, cleared)
        return True

    def log_taken(self, report: Report) -> None:
        """Write what a report changes for requests."""
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
            judgement = self.evidence.judge(report.service, fingerprint, now)
            if judgement.standing is Standing.QUARANTINED:
                LOG.warning(
                    'request_quarantined',
                    fingerprint=fingerprint.hex(),
                    service=report.service,
                    reports=judgement.report_ids,
                    age_ms=int((now - report.at) * 1000),
                    seconds_left=round(judgement.until - now, 1),
                )

    def plan_lift(self, service: str, fingerprints: list[bytes]) -> None:
        """Tell all that requests were answered, unless another one does."""
        planned_at = self.now()

        def tell() -> None:
            left = [
                fingerprint
                for fingerprint in fingerprints
                if not self.was_lifted(service, fingerprint, planned_at)
            ]
            if left:
                self.lift(left, service)

        self.scheduler.after(self.rng.uniform(0.0, LIFT_SECONDS), tell)

    def was_lifted(
        self, service: str, fingerprint: bytes, since: float
    ) -> bool:
        """Tell whether all were told since then that a request is cleared."""
        return any(
            report.lifted
            and report.service in ('', service)
            and report.at >= since - LIFT_SECONDS
            and fingerprint in report.fingerprints
            for report in reversed(self.evidence.reports.values())
        )

    def forget_old(self) -> None:
        self.evidence.forget_old(self.now())
        if self.membership is not None:
            self.membership.set_ends_digest(self.evidence.digest)

    # -- messages ---------------------------------------------------------

    def on_told(self, told: EndReport, fanout: int = FORWARD_FANOUT) -> bool:
        """Take a report of a peer; tell whether it was news."""
        report = from_wire(told, self.now())
        if report is None:
            LOG.warning('report_unsound', report=str(told)[:200])
            return False
        return self.take(report, fanout)

    def on_digest(self, seen: 'EndsDigest') -> None:
        """Compare what a peer knows with what is known here."""
        if seen.digest == self.evidence.digest:
            self.note_same(seen)
            return
        self.others_know_more = True
        now = self.now()
        if now < self.ask_again_at:
            return
        try:
            address = Address.parse(seen.peer_address)
        except ValueError:
            peer = seen.peer_address[:100]
            LOG.warning('reports_peer_unreadable', address=peer)
            return
        self.ask_again_at = now + self.ask_seconds
        self.ask_seconds = min(MOST_ASK_SECONDS, 2 * self.ask_seconds)
        self.network.send(address, EndsRequest(self.evidence.keys()))

    def note_same(self, seen: 'EndsDigest') -> None:
        """Take it that a peer knows just as much.

        Daemons that start together all know nothing at first; control
        instances were there before.
        """
        elders_heard = self.now() >= self.elders_deadline
        if seen.digest or seen.from_control or elders_heard:
            self.synced = True

    def on_request(self, link: 'Link', request: EndsRequest) -> None:
        """Give a peer what it does not know, the newest first."""
        unknown = self.evidence.unknown_to(request.known or ())
        unknown.sort(key=lambda report: report.at, reverse=True)
        now = self.now()
        given = [to_wire(report, now) for report in unknown[:MOST_GIVEN]]
        link.send(EndsAnswer(given))

    def on_answer(self, _link: 'Link', answer: EndsAnswer) -> None:
        """Take what a peer knew and we did not; others know it as well."""
        news = [self.on_told(told, 0) for told in answer.reports or ()]
        if any(news):
            self.ask_seconds = LEAST_ASK_SECONDS
            self.ask_again_at = 0.0
        self.synced = True
