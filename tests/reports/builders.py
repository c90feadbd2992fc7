"""Burn snapshots as daemons serve them."""

from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document
from tests.models.builders import document_value


def rules(version: int = 3) -> EventRules:
    """Return rules with the service ``prices`` (99.9 % in 100 ms)."""
    document = EventDocument.model_validate(document_value())
    return rules_from_document(document, version)


def figures(minutes, **fields) -> dict:
    """Return the counts of one service from its minutes, newest first."""
    return {
        'total': sum(total for total, _ in minutes),
        'good': sum(good for _, good in minutes),
        'minutes': [list(pair) for pair in minutes],
        'p50_us': 900,
        'p99_us': 4_000,
        **fields,
    }


def snapshot(data_centre: str = 'bole', minutes=(), **fields) -> dict:
    """Return the snapshot of one daemon with calls of ``prices``."""
    return {
        'instance': f'daemon-{data_centre}',
        'data_centre': data_centre,
        'event': 'morning-prices',
        'version': 3,
        'objectives': {'prices': {'seconds': 0.1, 'share': 0.99}},
        'services': {'prices': figures(minutes)} if minutes else {},
        **fields,
    }
