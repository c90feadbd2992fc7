"""Following the leader until a command has its answer."""

from collections.abc import Callable
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.admin import AdminAnswer
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

SPACING_SECONDS = 0.2
ASK_AGAIN = (
    ResultCode.NOT_LEADER,
    ResultCode.CHANGE_UNKNOWN,
    ResultCode.NO_MAJORITY,
    ResultCode.SHUTTING_DOWN,
)
Send = Callable[[Address, str, str, dict], Result[AdminAnswer, Problem]]


@dataclasses.dataclass(slots=True)
class LeaderCall:
    """Sends one command to whoever leads, until it has a final answer.

    A lost answer and an unknown outcome are met by sending the same command
    again, so it must be idempotent: a change carries its change id.
    ``hint`` tells what to do when the outcome stays unknown.
    """

    consoles: list[Address]
    send: Send
    clock: object
    hint: str
    names: dict[str, Address] = dataclasses.field(default_factory=dict)
    unknown: bool = False
    last: Problem | None = None

    def post(
        self, path: str, body: dict, deadline: float
    ) -> Result[AdminAnswer, Problem]:
        """Return the final answer, or why there was none by ``deadline``."""
        address = self.consoles[0]
        asked = 0
        while True:
            result = self.send(address, 'POST', path, body)
            asked += 1
            if isinstance(result, Success):
                answer = result.unwrap()
                if answer.code not in ASK_AGAIN and answer.code:
                    return result
                self.note_answer(answer)
                address = self.follow(answer)
            else:
                self.note_failure(result.failure())
                address = self.after(address)
            if self.clock.now() >= deadline:
                return Failure(self.verdict())
            if asked >= len(self.consoles):
                self.clock.sleep(SPACING_SECONDS)

    def note_answer(self, answer: AdminAnswer) -> None:
        self.names[answer.text('instance')] = answer.address
        self.last = answer.problem()
        self.unknown |= answer.code == ResultCode.CHANGE_UNKNOWN

    def note_failure(self, problem: Problem) -> None:
        refused = 'ConnectionRefused' in problem.detail
        self.last = problem
        self.unknown |= not refused

    def follow(self, answer: AdminAnswer) -> Address:
        """Return the leader's console if it is known, else the next."""
        hinted = self.names.get(answer.text('leader'))
        if hinted is not None and hinted != answer.address:
            return hinted
        return self.after(answer.address)

    def after(self, address: Address) -> Address:
        index = self.consoles.index(address)
        return self.consoles[(index + 1) % len(self.consoles)]

    def verdict(self) -> Problem:
        """Return the problem at the deadline; be honest about the unknown."""
        if not self.unknown and self.last is not None:
            return self.last
        return Problem(
            ResultCode.CHANGE_UNKNOWN,
            self.last.detail if self.last else '',
            hint=self.hint,
        )
