"""The generated reference pages match the code."""

import pytest

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from tools.reference import DOCS
from tools.reference import PAGES


@pytest.mark.parametrize('name', PAGES)
def test_page_matches_the_code(name):
    assert (DOCS / name).read_text() == PAGES[name]()


@pytest.mark.parametrize('code', ResultCode)
def test_every_code_is_described_and_its_status_fits_its_range(code):
    info = describe(code)
    assert info.title and info.hint
    statuses = {1: (200,), 2: (429, 503), 3: (500, 502, 504)}
    thousands = int(code) // 1000
    if thousands in statuses:
        assert info.status in statuses[thousands]
