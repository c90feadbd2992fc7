"""``python -m cyclamenlift.platform daemon`` or ``control``."""

import sys

from cyclamenlift.platform.programs import run_control
from cyclamenlift.platform.programs import run_daemon

PROGRAMS = {'daemon': run_daemon, 'control': run_control}


def main(arguments: list[str]) -> int:
    """Run the program that is named; 2 when there is none such."""
    run = PROGRAMS.get(arguments[0] if len(arguments) == 1 else '')
    if run is None:
        sys.stderr.write('usage: cyclamenlift.platform daemon|control\n')
        return 2
    return run()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
