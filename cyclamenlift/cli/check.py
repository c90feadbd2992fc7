"""``cyclamenlift check``: report every invalid setting before a start."""

import os

from returns.result import Failure
from returns.result import Success

from cyclamenlift.cli.flags import CONSOLE_VARIABLE
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import SETTINGS_BY_KIND
from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_problems
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
LISTEN_SETTINGS = ('entry_listen', 'peer_listen', 'admin_listen')


@command('check')
def check(
    kind: str = 'daemon', json: str = 'False', **flags: str
) -> ExitStatus:
    """List every invalid setting of a daemon or control instance.

    ``check daemon`` and ``check control`` take the flags of these commands
    and read the same environment variables. Exit status 2 if a setting is
    invalid.
    """
    if kind not in SETTINGS_BY_KIND:
        known = ' or '.join(SETTINGS_BY_KIND)
        print_problem(
            Problem(
                ResultCode.SETTING_INVALID, f'{kind!r} is not {known}', 'kind'
            )
        )
        return ExitStatus.USAGE_ERROR
    if wants_help(flags):
        print_line(settings_help(SETTINGS_BY_KIND[kind]))
        return ExitStatus.SUCCESS
    problems = find_problems(SETTINGS_BY_KIND[kind], flags)
    if is_true(json):
        print_json([problem_to_json(problem) for problem in problems])
    else:
        print_problems(problems)
        if not problems:
            print_line('settings are fine')
    return ExitStatus.USAGE_ERROR if problems else ExitStatus.SUCCESS


def find_problems(
    kind: type[CommonSettings], flags: dict[str, str]
) -> list[Problem]:
    """Return every problem that would keep the process from starting."""
    problems = []
    settings = load_settings(kind, flags)
    if isinstance(settings, Failure):
        problems.extend(settings.failure())
        problems.extend(parse_entries(unvalidated_peers(kind, flags))[1])
    else:
        problems.extend(find_conflicts(settings.unwrap()))
    for name in unknown_environment():
        if name != CONSOLE_VARIABLE:
            problems.append(
                Problem(ResultCode.SETTING_INVALID, 'unknown setting', name)
            )
    if not accelerator_present():
        problems.append(
            Problem(
                ResultCode.SETTING_INVALID,
                'the C module of thrift is missing',
                'thrift',
                'Install thrift on a machine with a C compiler.',
            )
        )
    return problems


def unvalidated_peers(
    kind: type[CommonSettings], flags: dict[str, str]
) -> tuple[str, ...]:
    """Return the unvalidated list of peers when settings did not load."""
    if kind is not ControlSettings:
        return ()
    text = flags.get('peers') or os.environ.get(PEERS_VARIABLE) or ''
    return split_list(text)


def find_conflicts(settings: CommonSettings) -> list[Problem]:
    """Return conflicts between settings that are valid by themselves."""
    problems = []
    used: dict[Address, str] = {}
    for name in LISTEN_SETTINGS:
        text = getattr(settings, name, None)
        if text is None or Address.parse(text).port == 0:
            continue
        first_name = used.setdefault(Address.parse(text), name)
        if first_name != name:
            problems.append(
                Problem(
                    ResultCode.SETTING_INVALID,
                    f'the same address as {first_name}',
                    name,
                )
            )
    if isinstance(settings, ControlSettings):
        peers = parse_peers(settings)
        if not isinstance(peers, Success):
            problems.extend(peers.failure())
    return problems


def problem_to_json(problem: Problem) -> dict[str, object]:
    """Return one problem as a JSON object."""
    return {
        'code': int(problem.code),
        'setting': problem.where,
        'detail': problem.detail,
        'hint': problem.advice(),
    }
