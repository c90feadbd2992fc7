"""The tests and mutants named in ``docs/PROOFS.md`` exist."""

import ast
import pathlib
import re

import pytest

from tools.mutants import MUTANTS

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'PROOFS.md').read_text()
LISTED_TESTS = sorted(set(re.findall(r'`(tests/[\w/]+\.py)::(\w+)`', PAGE)))


def names_in(path: str) -> set[str]:
    """Return the names defined at the top level of a test module."""
    names = set()
    for node in ast.parse((ROOT / path).read_text()).body:
        if isinstance(node, ast.FunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Assign):
            names.update(t.id for t in node.targets if hasattr(t, 'id'))
    return names


def test_every_test_of_the_page_exists():
    assert len(LISTED_TESTS) > 50
    missing = [
        (p, name) for p, name in LISTED_TESTS if name not in names_in(p)
    ]
    assert not missing


@pytest.mark.parametrize('mutant', MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_matches_the_source_and_is_on_the_page(mutant):
    text = (ROOT / mutant.path).read_text()
    assert mutant.old in text
    assert f'| {mutant.name} |' in PAGE
