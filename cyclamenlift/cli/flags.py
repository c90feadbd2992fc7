"""Flags of the commands, from strings to values."""

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
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

KINDS: dict[str, type[CommonSettings]] = {
    'daemon': DaemonSettings,
    'control': ControlSettings,
}
CONSOLE_VARIABLE = PREFIX + 'CONSOLE'
CONSOLE_DEFAULT = '127.0.0.1:7180'
TRUE_WORDS = ('true', '1', 'yes', 'on')
HELP_FLAGS = ('help', 'h')


def wants_help(flags: Mapping[str, object]) -> bool:
    """Tell whether ``--help`` was among free flags, where fire hides it."""
    return any(name in flags for name in HELP_FLAGS)


def is_true(text: object) -> bool:
    """Read a switch; fire gives ``True`` for a flag without a value.

    >>> is_true('True'), is_true('no'), is_true(False)
    (True, False, False)
    """
    return str(text).lower() in TRUE_WORDS


def parse_number(text: str, flag: str) -> Result[int, Problem]:
    """Read a number that is not negative.

    >>> parse_number('7', 'base')
    <Success: 7>
    """
    if str(text).isascii() and str(text).isdigit():
        return Success(int(text))
    return Failure(wrong(f'{text!r} is no whole number', flag))


def parse_addresses(text: str, flag: str) -> Result[list[Address], Problem]:
    """Read ``host:port,host:port``; empty means the variable or default."""
    given = text or os.environ.get(CONSOLE_VARIABLE) or CONSOLE_DEFAULT
    try:
        found = [Address.parse(part) for part in split_list(given)]
    except ValueError as error:
        return Failure(wrong(str(error), flag))
    if not found:
        return Failure(wrong('no address is given', flag))
    return Success(found)


def wrong(detail: str, flag: str) -> Problem:
    """Return the problem of one flag."""
    return Problem(ResultCode.SETTING_INVALID, detail, flag)


def settings_help(kind: type[CommonSettings]) -> str:
    """Return one line for each setting: flag, default, meaning."""
    lines = []
    for name, field in kind.model_fields.items():
        flag = '--' + name.replace('_', '-')
        default = 'required'
        if not field.is_required():
            default = f'default {field.default!r}'
        lines.append(f'  {flag:<24}{field.description} ({default})')
    return '\n'.join(lines)
