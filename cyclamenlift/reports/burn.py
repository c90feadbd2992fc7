"""Implementation of ``cyclamenlift report burn``."""

from collections.abc import Mapping
import pathlib

from returns.result import Failure
from returns.result import Result

from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import flag_problem
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.reports.models import BurnSnapshot
from cyclamenlift.reports.models import read_snapshot
from cyclamenlift.reports.queries import burn
from cyclamenlift.reports.queries import ServiceBurn
from cyclamenlift.reports.rendering import to_html
from cyclamenlift.reports.rendering import to_jsonable
from cyclamenlift.reports.rendering import to_table

PATH = '/burn'
FLAGS = ('addresses', 'json', 'html')
HELP = (
    'cyclamenlift report burn --addresses=HOST:PORT,... [--json] '
    '[--html=FILE]\n'
    '  --addresses  admin addresses of daemons\n'
    '  --json       JSON instead of a table\n'
    '  --html       also write an HTML page with plots to this file'
)


def fetch(address: Address) -> Result[BurnSnapshot, Problem]:
    """Request the burn snapshot of one daemon."""
    return request(address, 'GET', PATH).bind(
        lambda answer: read_snapshot(answer.value)
    )


def run(
    addresses: list[Address], as_json: bool, html_path: str = ''
) -> ExitStatus:
    """Fetch the snapshots, compute the burn of every service and print it.

    Daemons without a snapshot are listed in the report. The exit status is
    then a failure, because the report does not cover all calls.
    """
    snapshots = []
    missing = []
    for address in addresses:
        result = fetch(address)
        if isinstance(result, Failure):
            print_problem(result.failure())
            missing.append(str(address))
        else:
            snapshots.append(result.unwrap())
    burns = burn(snapshots)
    page_written = not html_path or write_page(html_path, burns, missing)
    if as_json:
        print_json({'services': to_jsonable(burns), 'missing': missing})
    else:
        print_table(to_table(burns))
    complete = page_written and not missing
    return ExitStatus.SUCCESS if complete else ExitStatus.FAILED


def write_page(
    path: str, burns: list[ServiceBurn], missing: list[str]
) -> bool:
    """Write the HTML page; report an error if the file is not writable."""
    try:
        pathlib.Path(path).write_text(
            to_html(burns, missing), encoding='utf-8'
        )
    except OSError as error:
        print_problem(Problem(ResultCode.SETTING_INVALID, str(error), 'html'))
        return False
    return True


def run_command(flags: Mapping[str, str]) -> ExitStatus:
    """Validate the command-line flags and run the command."""
    if wants_help(flags):
        print_line(HELP)
        return ExitStatus.SUCCESS
    unknown = sorted(set(flags) - set(FLAGS))
    if unknown:
        print_problem(flag_problem('unknown flag', unknown[0]))
        return ExitStatus.USAGE_ERROR
    parsed = parse_addresses(flags.get('addresses', ''), 'addresses')
    if isinstance(parsed, Failure):
        print_problem(parsed.failure())
        return ExitStatus.USAGE_ERROR
    as_json = is_true(flags.get('json', 'False'))
    return run(parsed.unwrap(), as_json, flags.get('html', ''))
