"""``python -m cyclamenlift.platform daemon`` or ``control``."""

import signal
import sys

# Takes the time, so it comes before modules that take long to load.
import cyclamenlift.process_start  # noqa: F401

from cyclamenlift.lazy_imports import install_lazy_imports  # isort: skip

USAGE = 'usage: cyclamenlift.platform daemon|control\n'


def main(arguments: list[str]) -> int:
    """Run the named program; return 2 if the name is unknown."""
    # A reload requested during startup is redundant: startup reads the file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    install_lazy_imports()
    from cyclamenlift.platform.programs import PROGRAMS

    run = PROGRAMS.get(arguments[0] if len(arguments) == 1 else '')
    if run is None:
        sys.stderr.write(USAGE)
        return 2
    return run()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
