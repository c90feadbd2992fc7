"""Line-based form of documents: equal rules, and reuse of routes."""

import json

import pytest

from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.lines import canonical_from_lines
from cyclamenlift.models.lines import lines_from_canonical
from cyclamenlift.models.lines import rules_by_line
from cyclamenlift.models.lines import rules_from_lines
from cyclamenlift.models.rules import rules_from_document
from tests.models.builders import document_value

ROUTES = [
    {
        'name': f'r{number}',
        'host': 'a.example',
        'path_prefix': f'/{number}/',
        'shares': [{'service': 'prices'}],
    }
    for number in range(3)
]


def canonical(routes=ROUTES) -> bytes:
    value = document_value(routes=routes, source='as it was sent')
    return document_to_bytes(EventDocument.model_validate(value))


def test_lines_and_document_give_the_same_rules():
    lines = lines_from_canonical(canonical())
    expected = rules_from_document(document_from_bytes(canonical()), 7)
    found = rules_from_lines(lines, 7, {})
    assert found.routes.routes == expected.routes.routes
    assert found.services == expected.services
    assert (found.version, found.event) == (7, expected.event)


def test_lines_omit_the_source_and_convert_back_to_the_document():
    lines = lines_from_canonical(canonical())
    assert not any(b'as it was sent' in line for line in lines)
    assert lines_from_canonical(canonical_from_lines(lines)) == lines
    document = document_from_bytes(canonical_from_lines(lines))
    assert document.routes == document_from_bytes(canonical()).routes


def test_known_routes_are_not_parsed_again():
    lines = lines_from_canonical(canonical())
    before = rules_from_lines(lines, 1, {})
    more = [*ROUTES, {**ROUTES[0], 'name': 'new', 'path_prefix': '/new/'}]
    newer = lines_from_canonical(canonical(more))
    after = rules_from_lines(newer, 2, rules_by_line(lines, before))
    assert all(
        one is two
        for one, two in zip(
            before.routes.routes, after.routes.routes, strict=False
        )
    )
    assert after.routes.find('a.example', '/new/x').name == 'new'


def test_a_document_without_routes_is_one_line():
    lines = lines_from_canonical(canonical([]))
    assert len(lines) == 1
    assert rules_from_lines(lines, 1, {}).routes is None


@pytest.mark.parametrize(
    'break_lines',
    [
        lambda lines: (),
        lambda lines: lines[1:],
        lambda lines: (*lines, b'{'),
        lambda lines: (*lines, b'{}'),
        lambda lines: (
            *lines,
            json.dumps(route_with_unknown_service()).encode(),
        ),
    ],
    ids=['none', 'no head', 'no JSON', 'no route', 'an unknown service'],
)
def test_invalid_lines_are_refused(break_lines):
    lines = lines_from_canonical(canonical())
    with pytest.raises(ValueError):
        rules_from_lines(break_lines(lines), 1, {})


def route_with_unknown_service() -> dict:
    value = json.loads(lines_from_canonical(canonical())[1])
    return {**value, 'shares': [{'service': 'nobody', 'weight': 1}]}
