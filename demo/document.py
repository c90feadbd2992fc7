"""The event document that the demo publishes."""

import datetime

SERVICES = ('prices', 'scheduling', 'documents')


def demo_document() -> dict:
    """Return an event that started an hour ago and ends in three hours."""
    now = datetime.datetime.now(datetime.UTC).replace(microsecond=0)
    hour = datetime.timedelta(hours=1)
    return {
        'event': 'morning-quotes',
        'starts_at': (now - hour).isoformat(),
        'ends_at': (now + 3 * hour).isoformat(),
        'services': [
            {
                'name': 'prices',
                'deadline_ms': 1500,
                'probe_budget_per_second': 20,
                'objective': {'latency_ms': 50, 'percent': 99},
            },
            {
                'name': 'scheduling',
                'deadline_ms': 3000,
                'operations': [
                    {'method': 'POST', 'path': '/bookings'},
                ],
            },
            {
                'name': 'documents',
                'upload_deadline_ms': 60000,
                'operations': [{'method': 'POST', 'path': '/uploads'}],
            },
        ],
    }
