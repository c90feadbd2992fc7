"""Sample event documents."""

import copy

DOCUMENT = {
    'event': 'morning-prices',
    'starts_at': '2026-12-02T05:00:00+00:00',
    'ends_at': '2026-12-02T11:00:00+00:00',
    'services': [
        {
            'name': 'prices',
            'operations': [
                {'method': 'GET', 'path': '/p/*', 'idempotent': True},
                {'method': 'POST', 'path': '/sale'},
            ],
        },
    ],
}


def document_value(**fields) -> dict:
    """Return a valid document as a dict with ``fields`` replaced."""
    return {**copy.deepcopy(DOCUMENT), **fields}


def with_service(**fields) -> dict:
    """Return a document with ``fields`` of its only service replaced."""
    value = document_value()
    value['services'][0].update(fields)
    return value
