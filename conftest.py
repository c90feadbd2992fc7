"""Lets CI pass over the tests that KNOWN-RED.txt lists, and prints them.

A line is ``test | cause | issue``. A listed test still runs; whether it
passes or fails, it is told at the end.
"""

import pathlib

import pytest

LIST = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def known_red() -> dict[str, str]:
    """Return the listed tests with their cause."""
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
