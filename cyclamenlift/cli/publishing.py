"""Sends a command to the current leader until it has a final response."""

from collections.abc import Callable
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

RETRY_SECONDS = 0.2
RETRYABLE_CODES = (
    ResultCode.NOT_LEADER,
    ResultCode.CHANGE_UNKNOWN,
    ResultCode.NO_MAJORITY,
    ResultCode.SHUTTING_DOWN,
)
Send = Callable[[Address, str, str, dict], Result[AdminResponse, Problem]]


@dataclasses.dataclass(slots=True)
class LeaderCall:
    """Sends one command to the leader and retries until it is final.

    After a lost response or an unknown outcome the same command is sent
    again, so it must be idempotent: a change carries its change id.
    ``hint`` tells the operator what to do if the outcome stays unknown.
    """

    consoles: list[Address]
    send: Send
    clock: object
    hint: str
    addresses_by_name: dict[str, Address] = dataclasses.field(
        default_factory=dict
    )
    outcome_unknown: bool = False
    last_problem: Problem | None = None

    def post(
        self, path: str, body: dict, deadline: float
    ) -> Result[AdminResponse, Problem]:
        """Return the final response, or the problem at ``deadline``."""
        address = self.consoles[0]
        attempts = 0
        while True:
            result = self.send(address, 'POST', path, body)
            attempts += 1
            if isinstance(result, Success):
                response = result.unwrap()
                if response.code not in RETRYABLE_CODES and response.code:
                    return result
                self.record_response(response)
                address = self.next_address(response)
            else:
                self.record_failure(result.failure())
                address = self.next_console(address)
            if self.clock.now() >= deadline:
                return Failure(self.final_problem())
            if attempts >= len(self.consoles):
                self.clock.sleep(RETRY_SECONDS)

    def record_response(self, response: AdminResponse) -> None:
        self.addresses_by_name[response.text('instance')] = response.address
        self.last_problem = response.problem()
        self.outcome_unknown |= response.code == ResultCode.CHANGE_UNKNOWN

    def record_failure(self, problem: Problem) -> None:
        connection_refused = 'ConnectionRefused' in problem.detail
        self.last_problem = problem
        self.outcome_unknown |= not connection_refused

    def next_address(self, response: AdminResponse) -> Address:
        """Return the address of the leader if it is known, else the next."""
        leader = self.addresses_by_name.get(response.text('leader'))
        if leader is not None and leader != response.address:
            return leader
        return self.next_console(response.address)

    def next_console(self, address: Address) -> Address:
        index = self.consoles.index(address)
        return self.consoles[(index + 1) % len(self.consoles)]

    def final_problem(self) -> Problem:
        """Return the problem to report at the deadline.

        It is CHANGE_UNKNOWN if any attempt may have taken effect.
        """
        if not self.outcome_unknown and self.last_problem is not None:
            return self.last_problem
        return Problem(
            ResultCode.CHANGE_UNKNOWN,
            self.last_problem.detail if self.last_problem else '',
            hint=self.hint,
        )
