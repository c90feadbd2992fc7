"""``cyclamenlift event history``."""

import datetime

from returns.result import Failure
from rich.table import Table

from cyclamenlift.cli.admin import first_answer
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
from cyclamenlift.cli.output import say_json
from cyclamenlift.cli.output import say_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus

MILLISECONDS = 1000


@command('event history')
def history(
    limit: str = '20', console: str = '', json: str = 'False'
) -> ExitStatus:
    """List the newest versions: who made them, when, from which base."""
    consoles = parse_addresses(console, 'console')
    number = parse_number(limit, 'limit')
    for result in (consoles, number):
        if isinstance(result, Failure):
            complain(result.failure())
            return ExitStatus.WRONG_USE
    path = f'/api/history?limit={number.unwrap()}'
    answer = first_answer(consoles.unwrap(), 'GET', path)
    if isinstance(answer, Failure):
        complain_all(answer.failure())
        return ExitStatus.FAILED
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
