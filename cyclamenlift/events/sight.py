"""Log lines that follow an order from its arrival to its answer."""

import structlog

from cyclamenlift.events.commands import Change

# Characters of a change's id in log lines.
SHOWN_ID = 12
LOG = structlog.get_logger('orders')


def log_taken(change: Change, kind: str, remote: object, led: str) -> None:
    """Tell that an order arrived here, and who leads as known here."""
    LOG.info(
        'order_taken',
        order=change.change_id[:SHOWN_ID],
        kind=kind,
        base=change.base_version,
        chosen=change.chosen_version,
        remote=str(remote),
        led=led,
    )


def log_sent_on(path: str, leader: str) -> None:
    """Tell that a caller was sent to a leader, '' if none is known."""
    LOG.info('caller_sent_on', path=path[:100], leader=leader)
