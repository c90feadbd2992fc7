"""Marks the tests listed in KNOWN-RED.txt as expected failures.

A line is ``test | cause | issue``. A listed test still runs, but does not
fail CI; the list is printed at the end of the run either way.
"""

import pathlib

import pytest

LIST = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def known_red() -> dict[str, str]:
    """Return the cause of each listed test by node ID."""
    if not LIST.exists():
        return {}
    rows = [line.split('|') for line in LIST.read_text().splitlines()]
    return {row[0].strip(): row[1].strip() for row in rows if len(row) == 3}


def pytest_collection_modifyitems(items) -> None:
    listed = known_red()
    for item in items:
        cause = listed.get(item.nodeid)
        if cause:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    for name, cause in known_red().items():
        terminalreporter.write_line(f'known red: {name}: {cause}')
