"""``cyclamenlift account show``: one client account, by data centre."""

import dataclasses
import urllib.parse

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.accounts import AccountTotal
from cyclamenlift.cli.accounts import ask_daemons
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem


@command('account show')
def show_account(
    name: str, addresses: str = '', json: str = 'False'
) -> ExitStatus:
    """Show the limit of a client account and how data centres share it.

    ADDRESSES are the admin addresses of daemons, host:port, separated by
    commas; their figures are added up. Exit status 1 if one of them did not
    answer, or the account is not in use.
    """
    query = '?' + urllib.parse.urlencode({'name': name})
    found = ask_daemons(addresses, query)
    if isinstance(found, Failure):
        return found.failure()
    totals, complete = found.unwrap()
    if not totals:
        problem = Problem(ResultCode.NOT_FOUND, f'no account {name!r}')
        print_problem(problem)
        return ExitStatus.FAILED
    if is_true(json):
        print_json(dataclasses.asdict(totals[0]))
    else:
        print_account(totals[0])
    return ExitStatus.SUCCESS if complete else ExitStatus.FAILED


def print_account(total: AccountTotal) -> None:
    """Print one account as text."""
    limit = 'no limit'
    if total.calls_per_second:
        limit = f'{total.calls_per_second:g} calls/s, burst'
        limit = f'{limit} {total.burst_calls:g}'
    rank = "the route's rank" if total.rank is None else f'rank {total.rank}'
    print_line(f'{total.account}: {limit}, {rank}')
    print_line(
        f'passed {total.passed}, refused by the limit {total.refused}, '
        f'refused in doubt {total.refused_in_doubt}'
    )
    if total.in_doubt:
        print_line(f'in doubt now: {", ".join(total.in_doubt)}')
    table = Table('data centre', 'part of the limit', 'demanded /s')
    for name, part in sorted(total.parts.items()):
        table.add_row(name, f'{part:.0%}', f'{total.demanded[name]:.1f}')
    print_table(table)
