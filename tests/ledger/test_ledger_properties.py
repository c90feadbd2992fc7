"""Property test of the ledger: random attempts, ends, time and restarts.

All attempts are for one key. A granted attempt may run unless it has
released its claim, and it releases only if it has not run. The key must
never run twice within its lifetime, which ends at the latest deadline sent.
"""

import os

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from cyclamenlift.ledger.records import Attempt
from cyclamenlift.ledger.records import ClaimKey
from cyclamenlift.ledger.records import Ending
from cyclamenlift.ledger.records import Verdict
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.ledger.state import RELEASED_MS
from cyclamenlift.ledger.state import RETAINED_MS
from tests.ledger.builders import ANSWER
from tests.ledger.builders import EVENT_END
from tests.ledger.builders import restarted
from tests.ledger.builders import START

# Deadlines that the caller may send with the key.
DEADLINES = sampled_from([0, START + 400, START + 900])
STEPS = sampled_from([-1_000, 1, 100, 300, 500])
LONG_STEPS = sampled_from([RELEASED_MS, RETAINED_MS])
# What follows a grant: nothing yet, a run, or a run and its end.
NEXT_STEPS = sampled_from(['', 'RUN', 'ANSWERED', 'UNKNOWN'])
PICK = integers(0, 20)


class LedgerMachine(RuleBasedStateMachine):
    """Callers and targets that use one ledger."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
        self.time_ms = START
        self.requests: list[Attempt] = []
        self.released: set[str] = set()
        self.runs = 0
        self.ran: set[str] = set()

    @initialize()
    def start(self):
        self.ledger.advance(START)

    @rule(expires=DEADLINES, left=integers(0, 300), then=NEXT_STEPS)
    def send(self, expires, left, then):
        """A caller sends a new attempt."""
        name = f'a{len(self.requests)}'
        request = Attempt('booking', 'k', name, expires, b'f', left)
        self.requests.append(request)
        self.claim(request, then)

    @rule(pick=PICK, then=NEXT_STEPS)
    def send_again(self, pick, then):
        """A claim message arrives late or twice."""
        if self.requests:
            self.claim(self.requests[pick % len(self.requests)], then)

    def claim(self, request, then):
        outcome = self.ledger.claim(request, EVENT_END)
        if outcome.verdict is not Verdict.GRANTED or not then:
            return
        self.run(request)
        if then in Ending.__members__ and request.attempt_id in self.ran:
            self.end(request, Ending[then])

    def run(self, request):
        """A granted attempt runs on its target, at most once."""
        name = request.attempt_id
        if name not in self.released and name not in self.ran:
            self.ran.add(name)
            self.runs += 1

    @rule(pick=PICK)
    def release(self, pick):
        """An attempt that has not run is released: early, late or twice."""
        if not self.requests:
            return
        request = self.requests[pick % len(self.requests)]
        if request.attempt_id not in self.ran:
            self.released.add(request.attempt_id)
            self.end(request, Ending.RELEASED)

    @rule(pick=PICK, ending=sampled_from(['ANSWERED', 'UNKNOWN']))
    def finish(self, pick, ending):
        """An attempt that ran ends, possibly more than once."""
        if self.ran:
            names = sorted(self.ran)
            name = names[pick % len(names)]
            self.end(self.requests[int(name[1:])], Ending[ending])

    def end(self, request, ending):
        identity = ClaimKey(request.service_name, request.key)
        self.ledger.end(identity, request.attempt_id, ending, ANSWER)

    @rule(step=STEPS)
    def pass_time(self, step):
        """A stamp arrives, from a leader with a slow clock an old one."""
        self.ledger.advance(self.time_ms + step)
        self.time_ms = max(self.time_ms, self.time_ms + step)

    @precondition(lambda self: len(self.requests) > 4)
    @rule(step=LONG_STEPS)
    def pass_long_time(self, step):
        self.pass_time(step)

    @rule()
    def restart(self):
        self.ledger = restarted(self.ledger)

    @invariant()
    def the_key_never_runs_twice(self):
        assert self.runs <= 1

    @invariant()
    def time_never_falls(self):
        assert self.ledger.time_ms in (0, self.time_ms)


EXAMPLES = int(os.environ.get('LEDGER_EXAMPLES', '300'))
LedgerMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    stateful_step_count=40,
)
TestLedger = LedgerMachine.TestCase
