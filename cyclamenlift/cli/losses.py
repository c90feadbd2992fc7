"""``cyclamenlift losses``: lost calls by time, counted from log files."""

import pathlib

from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.reports.losses import count_by_window
from cyclamenlift.reports.losses import format_accounts
from cyclamenlift.reports.losses import format_table
from cyclamenlift.reports.losses import known_codes
from cyclamenlift.reports.losses import read_lines


@command('losses')
def losses(*files: str, seconds: str = '2') -> ExitStatus:
    """Print how many calls were answered, refused and lost, by time.

    FILES contain the JSON log lines of all processes; text before the first
    brace of a line is ignored. SECONDS is the length of a window. Exit
    status 1 if there is no line to count.
    """
    length = to_seconds(seconds)
    if length is None:
        detail = f'invalid window length: {seconds!r} seconds'
        print_problem(Problem(ResultCode.BAD_REQUEST, detail, 'seconds'))
        return ExitStatus.USAGE_ERROR
    records = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors='replace')
        except OSError as error:
            print_problem(Problem(ResultCode.BAD_REQUEST, str(error), name))
            return ExitStatus.USAGE_ERROR
        records.extend(read_lines(text.splitlines()))
    if not records:
        print_problem(Problem(ResultCode.NOT_FOUND, 'no log line to count'))
        return ExitStatus.FAILED
    windows = count_by_window(records, length)
    for line in format_table(windows):
        print_line(line)
    for line in format_accounts(windows):
        print_line(line)
    for code in known_codes(windows):
        print_line(f'{code}: {describe(ResultCode(code)).title}')
    return ExitStatus.SUCCESS


def to_seconds(text: object) -> float | None:
    """Parse the length of a window; return None if it is invalid.

    >>> to_seconds('2.5'), to_seconds('0'), to_seconds('nan')
    (2.5, None, None)
    """
    try:
        length = float(str(text))
    except ValueError:
        return None
    return length if 0.0 < length < float('inf') else None
