"""Codes and their page agree."""

import pathlib
import re

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'


def test_page_lists_every_code_as_the_enum_does():
    rows = re.findall(
        r'^\| (\d{4}) \| (\S+) \| (\S+) \|', PAGE.read_text(), re.MULTILINE
    )
    expected = []
    for code in ResultCode:
        status = describe(code).status or '-'
        expected.append((str(int(code)), code.name, str(status)))
    assert rows == expected
