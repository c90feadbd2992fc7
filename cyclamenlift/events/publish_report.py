"""The outcome of an operator's change, as each instance reports it."""

import dataclasses

from cyclamenlift.core.codes import ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class FieldProblem:
    """One validation error: the path of the field and the reason."""

    path: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReport:
    """The outcome of a change.

    ``version`` is the version that it created, 0 if none; ``leader`` names the
    instance to ask instead, if known.
    """

    code: ResultCode
    instance: str
    version: int = 0
    current_version: int = 0
    detail: str = ''
    leader: str = ''
    problems: tuple[FieldProblem, ...] = ()

    def summary(self) -> str:
        """Return the first validation error, else the detail."""
        if not self.problems:
            return self.detail
        first = self.problems[0]
        return f'{first.path} {first.detail}'.strip()
