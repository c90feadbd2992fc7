"""``cyclamenlift check``: find every wrong setting before a start."""

import os

from returns.result import Failure
from returns.result import Success

from cyclamenlift.cli.flags import CONSOLE_VARIABLE
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import KINDS
from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
from cyclamenlift.cli.output import say_json
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.conf.settings import CommonSettings
from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import load_settings
from cyclamenlift.conf.settings import PREFIX
from cyclamenlift.conf.settings import split_list
from cyclamenlift.conf.settings import unknown_environment
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.runtime.peers import parse_entries
from cyclamenlift.runtime.peers import parse_peers
from cyclamenlift.wire.codec import accelerator_present

PEERS_VARIABLE = PREFIX + 'PEERS'
LISTENERS = ('entry_listen', 'peer_listen', 'admin_listen')


@command('check')
def check(
    kind: str = 'daemon', json: str = 'False', **flags: str
) -> ExitStatus:
    """List every wrong setting of a daemon or control instance at once.

    ``check daemon`` and ``check control`` take the flags of these commands
    and read the same variables. Exit status 2 when anything is wrong.
    """
    if kind not in KINDS:
        known = ' or '.join(KINDS)
        complain(
            Problem(ResultCode.SETTING_INVALID, f'{kind!r}: {known}', 'kind')
        )
        return ExitStatus.WRONG_USE
    if wants_help(flags):
        say(settings_help(KINDS[kind]))
        return ExitStatus.FINE
    problems = find_problems(KINDS[kind], flags)
    if is_true(json):
        say_json([describe(problem) for problem in problems])
    else:
        complain_all(problems)
        if not problems:
            say('settings are fine')
    return ExitStatus.WRONG_USE if problems else ExitStatus.FINE


def find_problems(
    kind: type[CommonSettings], flags: dict[str, str]
) -> list[Problem]:
    """Return everything that would keep the process from starting well."""
    problems = []
    settings = load_settings(kind, flags)
    if isinstance(settings, Failure):
        problems.extend(settings.failure())
        problems.extend(parse_entries(raw_peers(kind, flags))[1])
    else:
        problems.extend(check_loaded(settings.unwrap()))
    for name in unknown_environment():
        if name != CONSOLE_VARIABLE:
            problems.append(
                Problem(ResultCode.SETTING_INVALID, 'no such setting', name)
            )
    if not accelerator_present():
        problems.append(
            Problem(
                ResultCode.SETTING_INVALID,
                'the C module of thrift is missing',
                'thrift',
                'Install thrift where a C compiler is at hand.',
            )
        )
    return problems


def raw_peers(
    kind: type[CommonSettings], flags: dict[str, str]
) -> tuple[str, ...]:
    """Return the list of peers as it was given, when nothing was loaded."""
    if kind is not ControlSettings:
        return ()
    given = flags.get('peers') or os.environ.get(PEERS_VARIABLE) or ''
    return split_list(given)


def check_loaded(settings: CommonSettings) -> list[Problem]:
    """Return problems between settings that are each well formed."""
    problems = []
    taken: dict[Address, str] = {}
    for name in LISTENERS:
        text = getattr(settings, name, None)
        if text is None or Address.parse(text).port == 0:
            continue
        other = taken.setdefault(Address.parse(text), name)
        if other != name:
            problems.append(
                Problem(
                    ResultCode.SETTING_INVALID,
                    f'the same address as {other}',
                    name,
                )
            )
    if isinstance(settings, ControlSettings):
        peers = parse_peers(settings)
        if not isinstance(peers, Success):
            problems.extend(peers.failure())
    return problems


def describe(problem: Problem) -> dict[str, object]:
    """Return one problem for ``--json``."""
    return {
        'code': int(problem.code),
        'setting': problem.where,
        'detail': problem.detail,
        'hint': problem.advice(),
    }
