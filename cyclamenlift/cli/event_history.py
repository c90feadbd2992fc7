"""``cyclamenlift event history``: list the versions of the document."""

import datetime

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.admin import request_by_number
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.clock import MILLISECONDS


@command('event history')
def history(
    limit: str = '20', console: str = '', json: str = 'False'
) -> ExitStatus:
    """List the newest versions with their base, time and operator."""
    path = '/api/history?limit='
    response = request_by_number(console, limit, 'limit', path)
    if isinstance(response, Failure):
        return response.failure()
    value = response.unwrap().value
    if is_true(json):
        print_json(value)
        return ExitStatus.SUCCESS
    if not value.get('confirmed'):
        print_line('not confirmed by a majority')
    print_table(build_table(value.get('versions') or []))
    return ExitStatus.SUCCESS


def build_table(versions: list[dict]) -> Table:
    """Return a table of the versions."""
    table = Table('version', 'base', 'time (UTC)', 'operator', 'change id')
    for item in versions:
        seconds = item['stamp_unix_ms'] / MILLISECONDS
        instant = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        table.add_row(
            str(item['version']),
            str(item['base_version']),
            instant.strftime('%Y-%m-%d %H:%M:%S'),
            item['operator_name'],
            item['change_id'],
        )
    return table
