"""The claim server of a control instance."""

import collections
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.ledger.messages import answer_to_wire
from cyclamenlift.ledger.messages import attempt_from_wire
from cyclamenlift.ledger.messages import ledger_full
from cyclamenlift.ledger.messages import limit_record
from cyclamenlift.ledger.messages import not_leader
from cyclamenlift.ledger.refusals import no_majority
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.ledger.state import refused
from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEndAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import Command
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

MAX_PROPOSALS = 10_000


class ClaimServer:
    """Proposes claims and their ends while this instance is the leader.

    Limits that depend on settings are applied here, before the log: the
    number of held keys and the size of recorded answers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        replica,
        ledger: Ledger,
        instance: str,
        max_claims: int,
        recorded_answer_bytes: int,
    ):
        self.replica = replica
        self.ledger = ledger
        self.instance = instance
        self.max_claims = max_claims
        self.recorded_answer_bytes = recorded_answer_bytes
        self.proposals = 0
        self.verdicts: collections.Counter[ClaimVerdict] = (
            collections.Counter()
        )
        network.subscribe(ClaimRequest, self.on_claim)
        network.subscribe(ClaimEnd, self.on_end)

    def leads(self) -> bool:
        return self.replica.leader == self.instance

    def is_full(self, request: ClaimRequest) -> bool:
        """Return whether the request's key is new and the ledger is full."""
        if len(self.ledger) < self.max_claims:
            return False
        return not self.ledger.holds(request.service_name, request.key)

    def on_claim(self, link: Link, request: ClaimRequest) -> None:
        number = request.request_id or 0
        if not self.leads():
            self.reply(link, not_leader(number, self.replica.leader))
            return
        if not self.ledger.is_well_formed(attempt_from_wire(request)):
            self.reply(
                link, answer_to_wire(refused(ResultCode.BAD_REQUEST), number)
            )
            return
        if self.is_full(request):
            self.reply(link, ledger_full(number))
            return
        if self.proposals >= MAX_PROPOSALS:
            self.reply(link, no_majority(number, self.instance))
            return

        def answer(result: Result[bytes, Problem]) -> None:
            self.reply(link, self.claim_answer(result, number))

        self.propose(Command(claim=request), answer)

    def reply(self, link: Link, answer: ClaimAnswer) -> None:
        """Send an answer and count its verdict."""
        self.verdicts[answer.verdict] += 1
        link.send(answer)

    def claim_answer(
        self, result: Result[bytes, Problem], number: int
    ) -> ClaimAnswer:
        """Return the ledger's answer, or an answer for the failure.

        NOT_LEADER guarantees that the claim was not appended. After any
        other failure it may still be granted, which NO_MAJORITY allows for.
        """
        if failed_with(result, ResultCode.NOT_LEADER):
            return not_leader(number, self.hint())
        answer = decode_success(ClaimAnswer, result)
        if answer is None:
            return no_majority(number, self.replica.leader)
        answer.request_id = number
        answer.leader = self.instance
        return answer

    def on_end(self, link: Link, ending: ClaimEnd) -> None:
        number = ending.request_id or 0
        if not self.leads() or self.proposals >= MAX_PROPOSALS:
            link.send(ClaimEndAnswer(number, False, self.hint()))
            return
        limit_record(ending, self.recorded_answer_bytes)

        def answer(result: Result[bytes, Problem]) -> None:
            link.send(self.end_answer(result, number))

        self.propose(Command(claim_end=ending), answer)

    def end_answer(
        self, result: Result[bytes, Problem], number: int
    ) -> ClaimEndAnswer:
        """Return the ledger's answer.

        This instance's name as leader marks it as decided; otherwise the
        sender retries.
        """
        answer = decode_success(ClaimEndAnswer, result)
        if answer is None:
            return ClaimEndAnswer(number, False, self.hint())
        return ClaimEndAnswer(number, bool(answer.committed), self.instance)

    def hint(self) -> str:
        """Return the leader's name, unless it is this instance."""
        return '' if self.leads() else self.replica.leader

    def propose(
        self,
        command: Command,
        done: Callable[[Result[bytes, Problem]], None],
    ) -> None:
        self.proposals += 1

        def finish(result: Result[bytes, Problem]) -> None:
            self.proposals -= 1
            done(result)

        self.replica.propose(encode_struct(command), finish)


def failed_with(result: Result[bytes, Problem], code: ResultCode) -> bool:
    """Return whether the result is a failure with ``code``."""
    return isinstance(result, Failure) and result.failure().code == code


def decode_success(kind, result: Result[bytes, Problem]):
    """Decode a successful answer; return None if there is none."""
    if not isinstance(result, Success):
        return None
    data = result.unwrap()
    try:
        return decode_struct(kind, data) if data else None
    except FrameError:
        return None
