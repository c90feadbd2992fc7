"""``cyclamenlift losses``: where calls were lost, by time, from logs."""

import pathlib

from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.reports.losses import count_by_window
from cyclamenlift.reports.losses import format_table
from cyclamenlift.reports.losses import known_codes
from cyclamenlift.reports.losses import read_lines


@command('losses')
def losses(*files: str, seconds: str = '2') -> ExitStatus:
    """Print how many calls were answered, refused and lost, by time.

    FILES hold the JSON lines of all processes; whatever stands before the
    first brace of a line is left out. SECONDS is the length of a window.
    Exit status 1 when there is no line to count.
    """
    length = read_seconds(seconds)
    if length is None:
        detail = f'a window of {seconds!r} seconds'
        complain(Problem(ResultCode.BAD_REQUEST, detail, 'seconds'))
        return ExitStatus.WRONG_USE
    records = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors='replace')
        except OSError as error:
            complain(Problem(ResultCode.BAD_REQUEST, str(error), name))
            return ExitStatus.WRONG_USE
        records.extend(read_lines(text.splitlines()))
    if not records:
        complain(Problem(ResultCode.NOT_FOUND, 'no line to count'))
        return ExitStatus.FAILED
    windows = count_by_window(records, length)
    for line in format_table(windows):
        say(line)
    for code in known_codes(windows):
        say(f'{code}: {describe(ResultCode(code)).title}')
    return ExitStatus.FINE


def read_seconds(text: object) -> float | None:
    """Return the length of a window, None where it is none.

    >>> read_seconds('2.5'), read_seconds('0'), read_seconds('nan')
    (2.5, None, None)
    """
    try:
        length = float(str(text))
    except ValueError:
        return None
    return length if 0.0 < length < float('inf') else None
