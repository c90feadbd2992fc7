"""What the commands on client accounts share: asking all daemons."""

from collections.abc import Iterable
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import ExitStatus

PATH = '/api/accounts'
HTTP_ERROR = 400


@dataclasses.dataclass(slots=True)
class AccountTotal:
    """An account over all daemons that were asked.

    ``parts`` maps each data centre to its part of the limit, ``demanded`` to
    the calls a second that are demanded there.
    """

    account: str
    calls_per_second: float = 0.0
    burst_calls: float = 0.0
    rank: int | None = None
    passed: int = 0
    refused: int = 0
    refused_in_doubt: int = 0
    tight: bool = False
    in_doubt: list[str] = dataclasses.field(default_factory=list)
    parts: dict[str, float] = dataclasses.field(default_factory=dict)
    demanded: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, row: dict, instance: str, data_centre: str) -> None:
        """Add what one daemon knows."""
        self.calls_per_second = row['calls_per_second']
        self.burst_calls = row['burst_calls']
        self.rank = row['rank']
        self.passed += row['passed']
        self.refused += row['refused']
        self.refused_in_doubt += row['refused_in_doubt']
        self.tight = self.tight or row['tight']
        if row['in_doubt']:
            self.in_doubt.append(instance)
        if row['home']:
            # Of two that hold themselves for the home, the one in use counts.
            if row['demanded'] >= self.demanded.get(data_centre, 0.0):
                self.parts[data_centre] = row['part']
                self.demanded[data_centre] = row['demanded']


def ask_daemons(
    addresses: str, query: str = ''
) -> Result[tuple[list[AccountTotal], bool], ExitStatus]:
    """Return the accounts, and whether all daemons answered.

    On a Failure the error has already been printed; the Failure holds the
    exit status of the command.
    """
    parsed = parse_addresses(addresses, 'addresses')
    if isinstance(parsed, Failure):
        print_problem(parsed.failure())
        return Failure(ExitStatus.USAGE_ERROR)
    answers = []
    complete = True
    for address in parsed.unwrap():
        result = request(address, 'GET', PATH + query)
        if isinstance(result, Failure):
            print_problem(result.failure())
            complete = False
        elif result.unwrap().status >= HTTP_ERROR:
            print_problem(result.unwrap().problem())
            complete = False
        else:
            answers.append(result.unwrap().value)
    if not answers:
        return Failure(ExitStatus.FAILED)
    return Success((add_up(answers), complete))


def add_up(answers: Iterable[dict]) -> list[AccountTotal]:
    """Add up what daemons know, the account with most refusals first."""
    totals: dict[str, AccountTotal] = {}
    for answer in answers:
        for row in answer.get('accounts') or ():
            total = totals.setdefault(
                row['account'], AccountTotal(row['account'])
            )
            total.add(row, answer['instance'], answer['data_centre'])
    return sorted(
        totals.values(),
        key=lambda total: (-total.refused, -total.passed, total.account),
    )
