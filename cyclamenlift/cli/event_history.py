"""``cyclamenlift event history``."""

import datetime

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.admin import ask_with_number
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.output import say
from cyclamenlift.cli.output import say_json
from cyclamenlift.cli.output import say_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.clock import MILLISECONDS


@command('event history')
def history(
    limit: str = '20', console: str = '', json: str = 'False'
) -> ExitStatus:
    """List the newest versions: who made them, when, from which base."""
    path = '/api/history?limit='
    answer = ask_with_number(console, limit, 'limit', path)
    if isinstance(answer, Failure):
        return answer.failure()
    value = answer.unwrap().value
    if is_true(json):
        say_json(value)
        return ExitStatus.FINE
    if not value.get('confirmed'):
        say('not confirmed by a majority')
    say_table(table_of(value.get('versions') or []))
    return ExitStatus.FINE


def table_of(versions: list[dict]) -> Table:
    """Return the versions as a table."""
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
