"""Parsing and validation of the ``peers`` setting."""

import re

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import NAME_PATTERN
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

MAX_PEERS = 7
HINT = 'Write name=host:port for every control instance, this one too.'


def parse_peers(
    settings: ControlSettings,
) -> Result[dict[str, Address], list[Problem]]:
    """Return the peer address of each control instance by its name.

    All problems are returned together. An instance that is missing from its
    own list, or listed with another port than it listens on, would be
    counted incorrectly by the others.
    """
    peers, problems = parse_entries(settings.peers)
    if not problems:
        problems.extend(check_consistency(peers, settings))
    return Failure(problems) if problems else Success(peers)


def parse_entries(
    texts: tuple[str, ...],
) -> tuple[dict[str, Address], list[Problem]]:
    """Return the valid entries by name and a problem for each other one."""
    peers: dict[str, Address] = {}
    problems = []
    for text in texts:
        name, _, address_text = text.partition('=')
        try:
            address = Address.parse(address_text)
        except ValueError:
            address = None
        if address is None or not re.match(NAME_PATTERN, name):
            problems.append(problem(f'{text!r} is not name=host:port'))
            continue
        if name in peers:
            problems.append(problem(f'{name!r} is listed twice'))
        peers[name] = address
    return peers, problems


def check_consistency(
    peers: dict[str, Address], settings: ControlSettings
) -> list[Problem]:
    """Return inconsistencies of a list of well-formed entries."""
    problems = []
    own = peers.get(settings.instance)
    if own is None:
        problems.append(problem(f'{settings.instance!r} is not in the list'))
    elif own.port != Address.parse(settings.peer_listen).port:
        problems.append(
            problem(
                f'{settings.instance!r} is listed with port {own.port}, '
                f'but peer_listen is {settings.peer_listen}'
            )
        )
    if len(set(peers.values())) < len(peers):
        problems.append(problem('two instances have the same address'))
    if len(peers) > MAX_PEERS:
        problems.append(problem(f'more than {MAX_PEERS} instances'))
    return problems


def problem(detail: str) -> Problem:
    return Problem(ResultCode.SETTING_INVALID, detail, 'peers', HINT)
