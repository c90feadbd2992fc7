"""Reads event documents from files."""

import pathlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.models.document import document_from_text


def read_document(file: str) -> Result[str, list[Problem]]:
    """Return the text of a valid document, or every problem in it."""
    try:
        text = pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        problem = Problem(ResultCode.DOCUMENT_UNREADABLE, str(error), file)
        return Failure([problem])
    parsed = document_from_text(text)
    if isinstance(parsed, Failure):
        return parsed
    return Success(text)
