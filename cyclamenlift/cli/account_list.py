"""``cyclamenlift account list``: client accounts and who pays."""

import dataclasses

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.accounts import AccountTotal
from cyclamenlift.cli.accounts import ask_daemons
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus

COLUMNS = (
    'account',
    'limit /s',
    'burst',
    'demanded /s',
    'passed',
    'refused',
    'in doubt',
    'state',
)


@command('account list')
def list_accounts(addresses: str = '', json: str = 'False') -> ExitStatus:
    """List the client accounts in use, those with most refusals first.

    ADDRESSES are the admin addresses of daemons, host:port, separated by
    commas; their figures are added up. Exit status 1 if one of them did not
    answer.
    """
    found = ask_daemons(addresses)
    if isinstance(found, Failure):
        return found.failure()
    totals, complete = found.unwrap()
    if is_true(json):
        print_json([dataclasses.asdict(total) for total in totals])
    else:
        print_table(build_table(totals))
    return ExitStatus.SUCCESS if complete else ExitStatus.FAILED


def build_table(totals: list[AccountTotal]) -> Table:
    """Return a table with a row for each account."""
    table = Table(*COLUMNS)
    for total in totals:
        table.add_row(
            total.account,
            f'{total.calls_per_second:g}' if total.calls_per_second else '-',
            f'{total.burst_calls:g}' if total.calls_per_second else '-',
            f'{sum(total.demanded.values()):.1f}',
            str(total.passed),
            str(total.refused),
            str(total.refused_in_doubt),
            'near its limit' if total.tight else '',
        )
    return table
