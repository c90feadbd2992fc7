"""The claim ledger, a deterministic state machine: at most one run per key.

Every control instance applies the same log, so every decision depends on
the log alone and not on settings or the local clock. Ledger time is the
largest time stamp applied so far; it never decreases, whichever leader wrote
the stamps.

A claim is removed only after its key's deadline by ledger time, and a key
whose deadline has passed is never granted, so removal cannot lead to a
second run.
"""

import collections
import heapq

import pydantic

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.ledger.records import AnswerRecord
from cyclamenlift.ledger.records import Attempt
from cyclamenlift.ledger.records import Claim
from cyclamenlift.ledger.records import ClaimKey
from cyclamenlift.ledger.records import ClaimOutcome
from cyclamenlift.ledger.records import ClaimState
from cyclamenlift.ledger.records import Ending
from cyclamenlift.ledger.records import LedgerSnapshot
from cyclamenlift.ledger.records import ReleasedAttempt
from cyclamenlift.ledger.records import Verdict

DAY_MS = 24 * 3600 * 1000
# How far after the end of the event the deadline of a key may be.
HORIZON_MS = DAY_MS
# How long claims are retained after their deadline, and how many of them.
RETAINED_MS = DAY_MS
MAX_RETAINED = 100_000
# How long released attempts are remembered, and how many of them.
RELEASED_MS = 60_000
MAX_RELEASED = 100_000
# The heap is rebuilt when it has this many entries more than twice the
# number of claims.
HEAP_SLACK = 1_000
# Suggested delay before a retry while an attempt is in progress.
RETRY_MS = 500
MAX_KEY_LENGTH = 512
MAX_NAME_LENGTH = 256
MAX_FINGERPRINT_LENGTH = 64
CLAIM = pydantic.TypeAdapter(Claim)
RELEASED = pydantic.TypeAdapter(list[ReleasedAttempt])


class Ledger:
    """Grants each key to one attempt and records how it ended."""

    def __init__(self) -> None:
        self.time_ms = 0
        self.claims: dict[ClaimKey, Claim] = {}
        self.expiry: list[tuple[int, ClaimKey]] = []
        self.retained: collections.deque[ClaimKey] = collections.deque()
        self.released: dict[tuple[str, str, str], ReleasedAttempt] = {}

    # -- commands ---------------------------------------------------------

    def advance(self, stamp_unix_ms: int) -> None:
        """Advance ledger time and remove expired claims."""
        if stamp_unix_ms > self.time_ms:
            self.time_ms = stamp_unix_ms
            self.remove_expired()

    def claim(self, attempt: Attempt, event_ends_ms: int) -> ClaimOutcome:
        """Process an attempt; ``event_ends_ms`` is 0 without a document."""
        if not self.is_well_formed(attempt):
            return refused(ResultCode.BAD_REQUEST)
        held = self.claims.get(ClaimKey(attempt.service_name, attempt.key))
        if held is not None:
            return self.answer_held_key(held, attempt, event_ends_ms)
        if self.is_released(attempt):
            return refused(ResultCode.CANCELLED_NOT_RUN)
        if not event_ends_ms:
            return refused(ResultCode.NO_CONFIGURATION)
        expires_ms = attempt.key_expires_ms or event_ends_ms
        if not self.is_grantable(expires_ms, event_ends_ms):
            return refused(ResultCode.KEY_EXPIRED)
        self.grant(attempt, expires_ms)
        return ClaimOutcome(Verdict.GRANTED)

    def end(
        self,
        identity: ClaimKey,
        attempt_id: str,
        ending: Ending,
        answer: AnswerRecord | None = None,
    ) -> bool:
        """End an attempt; return whether this ending is now in effect.

        Only the attempt that holds the key may end the claim, and an ended
        attempt is never released.
        """
        held = self.claims.get(identity)
        holds = held is not None and held.attempt_id == attempt_id
        if ending is Ending.RELEASED:
            return self.release(identity, attempt_id, held if holds else None)
        if not holds:
            return False
        if ending is Ending.ANSWERED:
            return self.record(held, answer)
        if held.state is ClaimState.OPEN:
            held.state = ClaimState.UNKNOWN
            held.mark_changed()
        return True

    def grant(self, attempt: Attempt, expires_ms: int) -> None:
        """Grant an unclaimed key to ``attempt``."""
        claim = Claim(
            attempt.service_name,
            attempt.key,
            attempt.attempt_id,
            attempt.fingerprint,
            expires_ms,
            self.time_ms + max(0, attempt.time_left_ms),
        )
        identity = claim.identity()
        self.claims[identity] = claim
        heapq.heappush(self.expiry, (expires_ms, identity))
        if len(self.expiry) > 2 * len(self.claims) + HEAP_SLACK:
            self.rebuild_expiry()

    def answer_held_key(
        self, held: Claim, attempt: Attempt, event_ends_ms: int
    ) -> ClaimOutcome:
        """Answer an attempt for a held key, without a second run."""
        if held.fingerprint != attempt.fingerprint:
            return refused(ResultCode.KEY_REUSED)
        self.extend(held, attempt.key_expires_ms, event_ends_ms)
        if held.state is ClaimState.ANSWERED:
            return recorded(held.answer)
        if held.state is ClaimState.UNKNOWN:
            return ClaimOutcome(Verdict.UNKNOWN, ResultCode.CLAIM_UNKNOWN)
        if held.attempt_id == attempt.attempt_id:
            return ClaimOutcome(Verdict.GRANTED)
        if held.attempt_deadline_ms <= self.time_ms:
            return ClaimOutcome(Verdict.UNKNOWN, ResultCode.CLAIM_UNKNOWN)
        return ClaimOutcome(
            Verdict.IN_PROGRESS, ResultCode.CLAIM_IN_PROGRESS, RETRY_MS
        )

    def extend(self, held: Claim, expires_ms: int, event_ends_ms: int) -> None:
        """Extend a claim to the latest deadline sent for its key."""
        later = expires_ms or event_ends_ms
        if held.retained or later <= held.expires_ms:
            return
        if self.is_grantable(later, event_ends_ms):
            held.expires_ms = later
            held.mark_changed()
            heapq.heappush(self.expiry, (later, held.identity()))

    def release(
        self, identity: ClaimKey, attempt_id: str, held: Claim | None
    ) -> bool:
        """Release the attempt and the claim that it holds, if any."""
        if held is not None and held.state is not ClaimState.OPEN:
            return False
        if held is not None:
            self.remove(held)
        attempt = ReleasedAttempt(
            *identity, attempt_id, self.time_ms + RELEASED_MS
        )
        self.released.setdefault(attempt.identity(), attempt)
        while len(self.released) > MAX_RELEASED:
            del self.released[next(iter(self.released))]
        return True

    def record(self, held: Claim, answer: AnswerRecord | None) -> bool:
        """Record the first answer of the attempt that holds the key."""
        if held.state is not ClaimState.ANSWERED:
            held.state = ClaimState.ANSWERED
            held.answer = answer
            held.mark_changed()
        return True

    # -- expiry -----------------------------------------------------------

    def remove_expired(self) -> None:
        """Remove claims and released attempts that have expired.

        After its deadline a claim is retained for another day, within a
        limit on their number, so that a key without a deadline of its own
        that is sent again during the next event is still known.
        """
        while self.expiry and self.expiry[0][0] <= self.time_ms:
            expires_ms, identity = heapq.heappop(self.expiry)
            claim = self.claims.get(identity)
            if claim is None or claim.retained:
                continue
            if claim.expires_ms == expires_ms:
                claim.retained = True
                claim.mark_changed()
                self.retained.append(identity)
        while self.retained and self.oldest_retained_has_expired():
            del self.claims[self.retained.popleft()]
        while self.released:
            oldest = next(iter(self.released.values()))
            if oldest.forget_ms > self.time_ms:
                break
            del self.released[oldest.identity()]

    def oldest_retained_has_expired(self) -> bool:
        if len(self.retained) > MAX_RETAINED:
            return True
        oldest = self.claims[self.retained[0]]
        return oldest.expires_ms + RETAINED_MS <= self.time_ms

    def remove(self, claim: Claim) -> None:
        """Remove a claim; its heap entry is skipped later."""
        identity = claim.identity()
        del self.claims[identity]
        if claim.retained:
            self.retained.remove(identity)

    def rebuild_expiry(self) -> None:
        """Rebuild the heap without the entries of removed claims."""
        self.expiry = [
            (claim.expires_ms, identity)
            for identity, claim in self.claims.items()
            if not claim.retained
        ]
        heapq.heapify(self.expiry)

    # -- queries ----------------------------------------------------------

    def is_well_formed(self, attempt: Attempt) -> bool:
        """Return whether required fields are set and within limits."""
        return (
            0 < len(attempt.service_name) <= MAX_NAME_LENGTH
            and 0 < len(attempt.key) <= MAX_KEY_LENGTH
            and len(attempt.fingerprint) <= MAX_FINGERPRINT_LENGTH
            and 0 < len(attempt.attempt_id) <= MAX_KEY_LENGTH
            and attempt.key_expires_ms >= 0
        )

    def is_grantable(self, expires_ms: int, event_ends_ms: int) -> bool:
        """Return whether a key with this deadline may be granted now."""
        latest_ms = event_ends_ms + HORIZON_MS
        return self.time_ms < expires_ms <= latest_ms

    def is_released(self, attempt: Attempt) -> bool:
        identity = (attempt.service_name, attempt.key, attempt.attempt_id)
        return identity in self.released

    def holds(self, service_name: str, key: str) -> bool:
        """Return whether the key is held."""
        return ClaimKey(service_name, key) in self.claims

    def __len__(self) -> int:
        """Return the number of held keys."""
        return len(self.claims)

    # -- snapshots --------------------------------------------------------

    def encode(self) -> bytes:
        """Return the state as the JSON of a ``LedgerSnapshot``.

        Only claims changed since the last call are encoded again: this runs
        on the event loop and covers all held keys.
        """
        self.encode_changed()
        claims = b','.join([c.encoded for c in self.claims.values()])
        released = RELEASED.dump_json(list(self.released.values()))
        return b'{"time_ms":%d,"claims":[%b],"released":%b}' % (
            self.time_ms,
            claims,
            released,
        )

    def encode_changed(self) -> None:
        """Encode the claims whose cached encoding is invalid."""
        for claim in self.claims.values():
            if claim.encoded is None:
                claim.encoded = CLAIM.dump_json(claim)

    def restore(self, state: LedgerSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.time_ms = state.time_ms
        self.claims = {c.identity(): c for c in state.claims}
        self.encode_changed()
        self.released = {r.identity(): r for r in state.released}
        retained = [c for c in state.claims if c.retained]
        retained.sort(key=lambda c: (c.expires_ms, c.identity()))
        self.retained = collections.deque(c.identity() for c in retained)
        self.rebuild_expiry()


def refused(code: ResultCode) -> ClaimOutcome:
    """Return a refusal; the attempt did not run and holds no key."""
    return ClaimOutcome(Verdict.REFUSED, int(code))


def recorded(answer: AnswerRecord | None) -> ClaimOutcome:
    """Return the recorded answer; the code tells if its body was dropped."""
    if answer is None or not answer.body_kept:
        code = ResultCode.RECORD_TOO_LARGE
    else:
        code = ResultCode.ANSWERED_FROM_RECORD
    return ClaimOutcome(Verdict.RECORDED, int(code), answer=answer)
