"""Route lookup and validation of routes."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.models.document import document_from_value
from cyclamenlift.models.rules import rules_from_document


def route(**changes) -> dict:
    return {
        'name': 'r',
        'host': 'a.example',
        'path_prefix': '/p/',
        'shares': [{'service': 'prices', 'weight': 1}],
        **changes,
    }


def document(*routes: dict) -> dict:
    return {
        'event': 'e',
        'starts_at': '2026-01-01T00:00:00Z',
        'ends_at': '2036-01-01T00:00:00Z',
        'services': [{'name': 'prices'}, {'name': 'fees'}],
        'routes': list(routes),
    }


def table(*routes: dict):
    checked = document_from_value(document(*routes))
    assert isinstance(checked, Success)
    return rules_from_document(checked.unwrap(), 1).routes


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/p/x', 'short'),
        ('/p/', 'short'),
        ('/p/q/', 'long'),
        ('/p/q/r/s', 'long'),
        ('/p/q', 'short'),
        ('/p/qq/', 'short'),
        ('/p/x?a=/p/q/', 'short'),
        ('/p', None),
        ('/other/p/', None),
        ('*', None),
        ('', None),
    ],
)
def test_longest_prefix_wins(path, name):
    routes = table(
        route(name='short'), route(name='long', path_prefix='/p/q/')
    )
    found = routes.find('a.example', path)
    assert (found.name if found else None) == name


def test_routes_are_separate_per_host():
    routes = table(route(name='a'), route(name='b', host='B.example'))
    assert routes.find('b.example', '/p/x').name == 'b'
    assert routes.find('c.example', '/p/x') is None


def test_root_prefix_matches_the_remaining_paths():
    routes = table(route(name='all', path_prefix='/'), route(name='p'))
    assert routes.find('a.example', '/x').name == 'all'
    assert routes.find('a.example', '/p/x').name == 'p'


@pytest.mark.parametrize(
    ('changes', 'word'),
    [
        ({'shares': [{'service': 'none'}]}, 'unknown service'),
        ({'shares': [{'service': 'fees', 'weight': 0}]}, 'add up to 0'),
        ({'shares': []}, 'at least 1'),
        ({'path_prefix': '/p'}, 'slash'),
        ({'timeout_ms': 1000, 'objective_ms': 61_000}, 'far above'),
        ({'repetition': 'twice'}, 'idempotent'),
        ({'timeout_ms': 0}, 'greater than 0'),
        ({'max_tries': 0}, 'greater than or equal to 1'),
        ({'surprise': 1}, 'not permitted'),
    ],
)
def test_invalid_route_is_refused_with_a_reason(changes, word):
    found = document_from_value(document(route(**changes)))
    assert isinstance(found, Failure)
    text = ' '.join(problem.detail for problem in found.failure())
    assert word in text


def test_objective_just_below_the_limit_is_accepted():
    table(route(timeout_ms=1000, objective_ms=60_999))
