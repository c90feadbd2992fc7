"""The error value of the project, carried by ``returns`` results."""

import dataclasses

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A numbered error with its location and a hint.

    ``where`` is a field path, a setting or a file; without a ``hint`` the
    hint of the code applies.
    """

    code: ResultCode
    detail: str = ''
    where: str = ''
    hint: str = ''
    retry_after_ms: int = 0

    def advice(self) -> str:
        """Return the hint, by default that of the code."""
        return self.hint or describe(self.code).hint

    def line(self) -> str:
        """Return the problem as one human-readable line.

        >>> Problem(ResultCode.SETTING_MISSING, 'no name', 'name').line()
        '6001 name: no name (Give it.)'
        """
        place = f' {self.where}:' if self.where else ''
        detail = self.detail or describe(self.code).title
        return f'{int(self.code)}{place} {detail} ({self.advice()})'


def one_line(error: object, max_size: int) -> str:
    """Return the text as one line of at most ``max_size`` characters.

    >>> one_line(ValueError('much   too\\nlong'), 8)
    'much too'
    """
    return ' '.join(str(error).split())[:max_size]
