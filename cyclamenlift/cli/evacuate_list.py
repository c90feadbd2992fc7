"""``cyclamenlift evacuate list``: list the evacuated data centres."""

import datetime

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.admin import first_response
from cyclamenlift.cli.evacuations import LIST_PATH
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.clock import MILLISECONDS


@command('evacuate list')
def list_evacuations(console: str = '', json: str = 'False') -> ExitStatus:
    """List the evacuated data centres."""
    consoles = parse_addresses(console, 'console')
    if isinstance(consoles, Failure):
        print_problem(consoles.failure())
        return ExitStatus.USAGE_ERROR
    response = first_response(consoles.unwrap(), 'GET', LIST_PATH)
    if isinstance(response, Failure):
        print_problems(response.failure())
        return ExitStatus.FAILED
    value = response.unwrap().value
    if is_true(json):
        print_json(value)
        return ExitStatus.SUCCESS
    if not value.get('confirmed'):
        print_line('not confirmed by a majority')
    print_table(build_table(value.get('evacuated') or []))
    return ExitStatus.SUCCESS


def build_table(records: list[dict]) -> Table:
    """Return a table of the evacuated data centres."""
    table = Table('data centre', 'since (UTC)', 'revision', 'operator')
    for item in records:
        seconds = item['stamp_unix_ms'] / MILLISECONDS
        instant = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        table.add_row(
            item['data_centre'],
            instant.strftime('%Y-%m-%d %H:%M:%S'),
            str(item['revision']),
            item['operator_name'],
        )
    return table
