"""Requests to the admin address of an instance, by ``http.client``."""

import dataclasses
import http.client
import json
import time

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

REQUEST_SECONDS = 10.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
JSON_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class AdminAnswer:
    """A whole answer; ``value`` is the JSON object of its body."""

    address: Address
    status: int
    value: dict

    @property
    def code(self) -> int:
        """The numbered result, 0 when the answer names none."""
        code = self.value.get('code', 0)
        return code if isinstance(code, int) else 0

    def text(self, name: str) -> str:
        """Return one field as text, empty when it is missing."""
        value = self.value.get(name)
        return '' if value is None else str(value)

    def problem(self) -> Problem:
        """Return the refusal that this answer is."""
        try:
            code = ResultCode(self.code)
        except ValueError:
            code = ResultCode.INSTANCE_UNREACHABLE
        detail = self.text('detail') or self.text('title')
        return Problem(code, detail, self.text('instance'))


def request(
    address: Address, method: str, path: str, body: dict | None = None
) -> Result[AdminAnswer, Problem]:
    """Send one request; a Failure says that no whole answer came.

    A request that failed may have been carried out nevertheless.
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=REQUEST_SECONDS
    )
    headers = {'Accept': JSON_TYPE}
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        headers['Content-Type'] = JSON_TYPE
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        content = response.read(MAX_ANSWER_BYTES)
        value = json.loads(content)
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = f'{type(error).__name__}: {error}'
        return Failure(
            Problem(ResultCode.INSTANCE_UNREACHABLE, detail, str(address))
        )
    finally:
        connection.close()
    if not isinstance(value, dict):
        value = {}
    return Success(AdminAnswer(address, response.status, value))


def first_answer(
    addresses: list[Address], method: str, path: str
) -> Result[AdminAnswer, list[Problem]]:
    """Ask one address after the other until one answers.

    An answer that a majority confirmed is preferred; without one the last
    unconfirmed answer is returned.
    """
    problems = []
    fallback = None
    for address in addresses:
        result = request(address, method, path)
        if isinstance(result, Failure):
            problems.append(result.failure())
            continue
        fallback = result.unwrap()
        if fallback.value.get('confirmed'):
            return result
    return Success(fallback) if fallback else Failure(problems)


def ask_with_number(
    console: str, number: str, name: str, path: str
) -> Result[AdminAnswer, ExitStatus]:
    """Ask for ``path`` followed by a number that was typed.

    ``name`` is the flag that the number came from. A Failure has been
    written already and holds the command's exit status.
    """
    consoles = parse_addresses(console, 'console')
    parsed = parse_number(number, name)
    for result in (consoles, parsed):
        if isinstance(result, Failure):
            complain(result.failure())
            return Failure(ExitStatus.WRONG_USE)
    whole = f'{path}{parsed.unwrap()}'
    answer = first_answer(consoles.unwrap(), 'GET', whole)
    if isinstance(answer, Failure):
        complain_all(answer.failure())
        return Failure(ExitStatus.FAILED)
    return answer


class SystemSleep:
    """Waiting and the clock of the command line; tests pass their own."""

    def now(self) -> float:
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        time.sleep(seconds)
