"""Parses the flags of the commands."""

from collections.abc import Mapping
import os

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.conf.settings import CommonSettings
from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import PREFIX
from cyclamenlift.conf.settings import split_list
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

SETTINGS_BY_KIND: dict[str, type[CommonSettings]] = {
    'daemon': DaemonSettings,
    'control': ControlSettings,
}
CONSOLE_VARIABLE = PREFIX + 'CONSOLE'
CONSOLE_DEFAULT = '127.0.0.1:7180'
TRUE_WORDS = ('true', '1', 'yes', 'on')
HELP_FLAGS = ('help', 'h')


def wants_help(flags: Mapping[str, object]) -> bool:
    """Tell whether ``--help`` is among ``**flags``.

    fire passes it on instead of handling it for such commands.
    """
    return any(name in flags for name in HELP_FLAGS)


def is_true(text: object) -> bool:
    """Parse a boolean flag; fire passes ``True`` if it has no value.

    >>> is_true('True'), is_true('no'), is_true(False)
    (True, False, False)
    """
    return str(text).lower() in TRUE_WORDS


def parse_number(text: str, flag: str) -> Result[int, Problem]:
    """Parse a non-negative whole number.

    >>> parse_number('7', 'base')
    <Success: 7>
    """
    number = read_unsigned(str(text))
    if number is not None:
        return Success(number)
    return Failure(flag_problem(f'{text!r} is not a whole number', flag))


def parse_addresses(text: str, flag: str) -> Result[list[Address], Problem]:
    """Parse ``host:port,host:port``.

    Empty text means the environment variable, or else the default.
    """
    value = text or os.environ.get(CONSOLE_VARIABLE) or CONSOLE_DEFAULT
    try:
        found = [Address.parse(part) for part in split_list(value)]
    except ValueError as error:
        return Failure(flag_problem(str(error), flag))
    if not found:
        return Failure(flag_problem('no address given', flag))
    return Success(found)


def flag_problem(detail: str, flag: str) -> Problem:
    """Return the problem of an invalid flag."""
    return Problem(ResultCode.SETTING_INVALID, detail, flag)


def settings_help(kind: type[CommonSettings]) -> str:
    """Return a line for each setting: flag, description and default."""
    lines = []
    for name, field in kind.model_fields.items():
        flag = '--' + name.replace('_', '-')
        default = 'required'
        if not field.is_required():
            default = f'default {field.default!r}'
        lines.append(f'  {flag:<24}{field.description} ({default})')
    return '\n'.join(lines)
