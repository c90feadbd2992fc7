"""A daemon's claim client that keeps a number of claims outstanding."""

import dataclasses
import itertools
import random
import time

from cyclamenlift.core.scheduler import build_root
from cyclamenlift.core.streams import Address
from cyclamenlift.ledger.tasks import ClaimClient
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer
from cyclamenlift.wire.network import PeerNetwork

SERVICE = 'sale'
CLAIM_SECONDS = 20.0
TICK_SECONDS = 0.01
GIVE_UP_SECONDS = 60.0
FINGERPRINT = b'f' * 32
ANSWER = RecordedAnswer(201, [], b'x' * 200, True)
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFigures:
    """What one load gave; latencies are those of claims, in milliseconds.

    ``client_core`` is the processor time of this client by elapsed time:
    near 1 the client was the limit, not control.
    """

    claims: int
    refused: int
    per_second: float
    p50_ms: float
    p99_ms: float
    worst_ms: float
    client_core: float


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of ordered values, 0 for none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ClaimLoad:
    """Claims fresh keys; each decided claim is followed by the next."""

    def __init__(self, control: list[str], seed: int = 1):
        self.loop = build_root()
        self.loop._running = True
        self.network = PeerNetwork(
            self.loop.poller, 'bench', 'dc-a', 'cyclamenlift'
        ).register(self.loop)
        addresses = [Address.parse(text) for text in control]
        self.client = ClaimClient(
            self.loop,
            self.network,
            addresses,
            random.Random(seed),
            claim_timeout_seconds=CLAIM_SECONDS,
        )
        self.numbers = itertools.count(1)
        self.with_end = False
        self.left = 0
        self.stop_at = 0.0
        self.outstanding = 0
        self.refused = 0
        self.times: list[float] = []

    def run(
        self,
        outstanding: int,
        seconds: float = GIVE_UP_SECONDS,
        claims: int = 2**62,
        with_end: bool = False,
    ) -> LoadFigures:
        """Load until the time is over or so many claims were made."""
        self.times = []
        self.refused = 0
        self.left = claims
        self.with_end = with_end
        began, used = time.monotonic(), time.process_time()
        self.stop_at = began + seconds
        for _ in range(min(outstanding, claims)):
            self.begin()
        while self.outstanding:
            self.loop.tick(TICK_SECONDS)
        elapsed = time.monotonic() - began
        ordered = sorted(self.times)
        return LoadFigures(
            claims=len(ordered),
            refused=self.refused,
            per_second=len(ordered) / elapsed,
            p50_ms=MILLISECONDS * quantile(ordered, 0.5),
            p99_ms=MILLISECONDS * quantile(ordered, 0.99),
            worst_ms=MILLISECONDS * quantile(ordered, 1.0),
            client_core=(time.process_time() - used) / elapsed,
        )

    def begin(self) -> None:
        """Claim a key that was never used before."""
        began = time.monotonic()
        if not self.left or began >= self.stop_at:
            return
        self.left -= 1
        self.outstanding += 1
        name = f'key-{next(self.numbers):012d}-0123456789abcdef'
        request = ClaimRequest(0, SERVICE, name, name, 0, 0, FINGERPRINT)
        self.client.claim(
            request,
            began + CLAIM_SECONDS,
            lambda answer: self.decided(answer, name, began),
        )

    def decided(self, answer: ClaimAnswer, name: str, began: float) -> None:
        granted = answer.verdict == ClaimVerdict.GRANTED
        if granted:
            self.times.append(time.monotonic() - began)
        else:
            self.refused += 1
        if granted and self.with_end:
            self.end(name)
            return
        self.go_on()

    def end(self, name: str) -> None:
        """Record an answer, as an entry does after a booking."""
        ending = ClaimEnd(0, SERVICE, name, name, ClaimEnding.ANSWERED, ANSWER)
        deadline = time.monotonic() + CLAIM_SECONDS
        self.client.end(ending, deadline, lambda _ended: self.go_on())

    def go_on(self) -> None:
        self.outstanding -= 1
        self.begin()

    def close(self) -> None:
        self.network.close_all()
