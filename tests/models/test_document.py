"""Validation and canonical form of the event document."""

import json

import pytest
from returns.result import Success

from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import document_from_text
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.models.rules import rules_from_document
from tests.models.builders import document_value
from tests.models.builders import with_service

BAD = [
    (document_value(event=''), 'event'),
    (document_value(extra=1), 'extra'),
    (document_value(services=[]), 'services'),
    (document_value(ends_at='2026-12-02T05:00:00+00:00'), 'document'),
    (document_value(ends_at='2026-12-02T11:00:00'), 'ends_at'),
    (with_service(deadline_ms=0), 'services[0].deadline_ms'),
    (with_service(deadline_ms='soon'), 'services[0].deadline_ms'),
    (with_service(policy='best'), 'services[0].policy'),
    (with_service(name='UPPER'), 'services[0].name'),
    (
        with_service(operations=[{'method': 'GET', 'path': 'x'}]),
        'services[0].operations[0].path',
    ),
    (
        with_service(operations=[{'method': 'GET', 'path': '/a*b'}]),
        'services[0].operations[0].path',
    ),
]


@pytest.mark.parametrize(('value', 'where'), BAD)
def test_invalid_field_is_reported_with_its_path(value, where):
    problems = document_from_text(json.dumps(value)).failure()
    assert where in [p.where for p in problems]


@pytest.mark.parametrize(
    'text', ['', '[1, 2', 'a: b: c', '\0', '[]', '&a [*a]', 'x' * 2**21]
)
def test_unparsable_text_is_refused(text):
    assert document_from_text(text).failure()


def test_service_named_twice_is_refused():
    service = document_value()['services'][0]
    text = json.dumps(document_value(services=[service, service]))
    (problem,) = document_from_text(text).failure()
    assert 'prices' in problem.detail


def test_canonical_form_round_trips():
    document = document_from_text(json.dumps(document_value())).unwrap()
    data = document_to_bytes(document)
    assert document_from_bytes(data) == document
    assert document_to_bytes(document_from_bytes(data)) == data


@pytest.mark.parametrize(
    ('method', 'path', 'idempotent'),
    [
        ('GET', '/p/1?x=y', True),
        ('GET', '/elsewhere', True),
        ('POST', '/sale', False),
        ('POST', '/sale/2', False),
        ('DELETE', '/p/1', False),
    ],
)
def test_which_calls_may_be_repeated(method, path, idempotent):
    result = document_from_text(json.dumps(document_value()))
    assert isinstance(result, Success)
    rule = rules_from_document(result.unwrap(), 1).services['prices']
    assert rule.is_idempotent(method, path) is idempotent


@pytest.mark.parametrize(
    ('targets', 'centres', 'name', 'allowed'),
    [
        (['*'], [], 'p-1', True),
        (['p-*'], [], 'q-1', False),
        (['p-*', 'q-1'], [], 'q-1', True),
        (['*'], ['bole'], 'p-1', True),
        (['*'], ['yeka'], 'p-1', False),
    ],
)
def test_which_targets_may_serve_a_service(targets, centres, name, allowed):
    value = with_service(targets=targets, data_centres=centres)
    document = document_from_text(json.dumps(value)).unwrap()
    rule = rules_from_document(document, 1).services['prices']
    assert rule.allows_target(name, 'bole') is allowed
