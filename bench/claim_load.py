"""Load generator that keeps a fixed number of claims outstanding."""

import dataclasses
import itertools
import random
import time

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.ledger.tasks import ClaimClient
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer
from cyclamenlift.wire.tasks import PeerNetwork

SERVICE = 'sale'
CLAIM_SECONDS = 20.0
TICK_SECONDS = 0.01
LOAD_TIMEOUT_SECONDS = 60.0
FINGERPRINT = b'f' * 32
ANSWER = RecordedAnswer(201, [], b'x' * 200, True)
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFigures:
    """Results of one load; latencies are of claims, in milliseconds.

    ``client_core`` is the CPU time of this client divided by elapsed time:
    near 1 the client, not control, was the bottleneck.
    """

    claims: int
    refused: int
    per_second: float
    p50_ms: float
    p99_ms: float
    worst_ms: float
    client_core: float


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ClaimLoad:
    """Claims new keys; starts the next claim when one has been decided."""

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
        self.remaining = 0
        self.stop_at = 0.0
        self.outstanding = 0
        self.refused = 0
        self.times: list[float] = []

    def run(
        self,
        outstanding: int,
        seconds: float = LOAD_TIMEOUT_SECONDS,
        claims: int = 2**62,
        with_end: bool = False,
    ) -> LoadFigures:
        """Send load for ``seconds`` or until ``claims`` have been made."""
        self.times = []
        self.refused = 0
        self.remaining = claims
        self.with_end = with_end
        started_at, cpu_before = time.monotonic(), time.process_time()
        self.stop_at = started_at + seconds
        for _ in range(min(outstanding, claims)):
            self.start_claim()
        while self.outstanding:
            self.loop.tick(TICK_SECONDS)
        elapsed = time.monotonic() - started_at
        ordered = sorted(self.times)
        return LoadFigures(
            claims=len(ordered),
            refused=self.refused,
            per_second=len(ordered) / elapsed,
            p50_ms=MILLISECONDS * quantile(ordered, 0.5),
            p99_ms=MILLISECONDS * quantile(ordered, 0.99),
            worst_ms=MILLISECONDS * quantile(ordered, 1.0),
            client_core=(time.process_time() - cpu_before) / elapsed,
        )

    def start_claim(self) -> None:
        """Claim a new key, unless the load is complete."""
        started_at = time.monotonic()
        if not self.remaining or started_at >= self.stop_at:
            return
        self.remaining -= 1
        self.outstanding += 1
        name = f'key-{next(self.numbers):012d}-0123456789abcdef'
        request = ClaimRequest(0, SERVICE, name, name, 0, 0, FINGERPRINT)
        self.client.claim(
            request,
            started_at + CLAIM_SECONDS,
            lambda answer: self.on_decision(answer, name, started_at),
        )

    def on_decision(
        self, answer: ClaimAnswer, name: str, started_at: float
    ) -> None:
        granted = answer.verdict == ClaimVerdict.GRANTED
        if granted:
            self.times.append(time.monotonic() - started_at)
        else:
            self.refused += 1
        if granted and self.with_end:
            self.end(name)
            return
        self.continue_load()

    def end(self, name: str) -> None:
        """End a claim with a recorded answer, as an entry does."""
        ending = ClaimEnd(0, SERVICE, name, name, ClaimEnding.ANSWERED, ANSWER)
        deadline = time.monotonic() + CLAIM_SECONDS
        self.client.end(ending, deadline, lambda _ended: self.continue_load())

    def continue_load(self) -> None:
        self.outstanding -= 1
        self.start_claim()

    def close(self) -> None:
        self.network.close_all()
