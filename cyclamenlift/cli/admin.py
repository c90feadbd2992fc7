"""HTTP requests to the admin address of an instance."""

import dataclasses
import http.client
import json
import time

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

REQUEST_SECONDS = 10.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
JSON_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class AdminResponse:
    """A complete response; ``value`` is the JSON object of its body."""

    address: Address
    status: int
    value: dict

    @property
    def code(self) -> int:
        """The result code, 0 if the response has none."""
        code = self.value.get('code', 0)
        return code if isinstance(code, int) else 0

    def text(self, name: str) -> str:
        """Return one field as a string, empty if it is missing."""
        value = self.value.get(name)
        return '' if value is None else str(value)

    def problem(self) -> Problem:
        """Return the problem that this error response describes."""
        try:
            code = ResultCode(self.code)
        except ValueError:
            code = ResultCode.INSTANCE_UNREACHABLE
        detail = self.text('detail') or self.text('title')
        return Problem(code, detail, self.text('instance'))


def request(
    address: Address, method: str, path: str, body: dict | None = None
) -> Result[AdminResponse, Problem]:
    """Send one request; return a Failure without a complete response.

    The instance may have processed a request that failed.
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
    return Success(AdminResponse(address, response.status, value))


def first_response(
    addresses: list[Address], method: str, path: str
) -> Result[AdminResponse, list[Problem]]:
    """Send a request to each address in turn until one responds.

    A response that a majority confirmed is preferred; without one, the last
    unconfirmed response is returned.
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


def request_by_number(
    console: str, number: str, name: str, path: str
) -> Result[AdminResponse, ExitStatus]:
    """Request ``path`` followed by a number from the command line.

    ``name`` is the flag of the number. On a Failure the error has already
    been printed; the Failure holds the exit status of the command.
    """
    addresses = parse_addresses(console, 'console')
    parsed = parse_number(number, name)
    for result in (addresses, parsed):
        if isinstance(result, Failure):
            print_problem(result.failure())
            return Failure(ExitStatus.USAGE_ERROR)
    full_path = f'{path}{parsed.unwrap()}'
    response = first_response(addresses.unwrap(), 'GET', full_path)
    if isinstance(response, Failure):
        print_problems(response.failure())
        return Failure(ExitStatus.FAILED)
    return response


class SystemClock:
    """Clock and sleep of the operating system; tests replace them."""

    def now(self) -> float:
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        time.sleep(seconds)
