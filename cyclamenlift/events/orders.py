"""Operators' change orders, which any instance accepts and processes."""

from collections.abc import Callable
import dataclasses
import hashlib
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeAlias

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.registry import Registry
from cyclamenlift.core.streams import Address
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.publish_report import PublishReport

if TYPE_CHECKING:
    # Daemons carry orders but never execute them, so they don't import the
    # replicated log.
    from cyclamenlift.events.context import ControlContext
    from cyclamenlift.events.reports import DocumentReport

# How long an operator waits for an answer before it sends its order to another
# instance, in seconds.
CALLER_WAIT_SECONDS = 1.0
# How long an instance tries to get an outcome before it reports that there is
# none, in seconds.
ORDER_TIMEOUT_SECONDS = 0.7
# Larger orders are not forwarded; their callers send them to the leader. They
# would saturate the links of daemons and, between control instances, delay the
# replicated log.
MAX_FORWARDED_BYTES = 32 * 1024
MAX_ORDER_BYTES = 256 * 1024
# Result codes that leave the outcome of an order undecided.
UNDECIDED_CODES = (ResultCode.NOT_LEADER, ResultCode.CHANGE_UNKNOWN)
LOG = structlog.get_logger('orders')


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A change as the operator submitted it.

    ``kind`` selects how the leader parses the body. The change id is a hash of
    all other fields, so it identifies exactly one order.
    """

    kind: str
    change: Change
    body: bytes


def order_from(
    kind: str,
    base_version: int,
    chosen_version: int,
    body: bytes,
    operator_name: str = '',
) -> Order:
    """Return an order whose change id is derived from its content.

    An order that is submitted again gets the same change id.
    """
    digest = hashlib.sha256(f'{kind}\n{base_version}\n'.encode() + body)
    change = Change(
        change_id=digest.hexdigest(),
        base_version=base_version,
        operator_name=operator_name,
        chosen_version=chosen_version,
    )
    return Order(kind, change, body)


OrderDone = Callable[[PublishReport], None]
OrderKind: TypeAlias = 'Callable[[ControlContext, Order, OrderDone], None]'
# The function with which the leader executes an order, by kind.
ORDER_KINDS: Registry[OrderKind] = Registry('kind of order')


class OrderHandler(Protocol):
    """Accepts operators' orders, on a control instance or a daemon."""

    def handle(self, order: Order, remote: Address, done: OrderDone) -> None:
        """Process an order; ``done`` is called once with the outcome.

        NOT_LEADER means that the order was certainly not executed,
        CHANGE_UNKNOWN that it may have been.
        """

    def accepts_size(self, body_length: int | None) -> bool:
        """Return whether a body of this length is accepted (None: unknown)."""

    def read(self, done: Callable[['DocumentReport'], None]) -> bool:
        """Report the current document; False if this instance can't."""

    def location(self) -> Address | None:
        """Return the leader's address, or one that may know the leader."""

    def alternate_address(self) -> Address | None:
        """Return an instance to retry at if no leader is reachable here."""


def log_received(order: Order, remote: Address, leads: bool) -> None:
    """Log that an operator's order was received."""
    LOG.info(
        'order_taken',
        order=order.change.short_id,
        kind=order.kind,
        base=order.change.base_version,
        chosen=order.change.chosen_version,
        remote=str(remote),
        leads=leads,
    )


def log_redirected(path: str, place: Address | None) -> None:
    """Log where a caller was redirected, if anywhere."""
    LOG.info('caller_sent_on', path=path[:100], place=str(place or ''))


def log_answered(order: Order, report: PublishReport) -> None:
    """Log the outcome that is returned to an operator."""
    LOG.info(
        'change_answered',
        code=int(report.code),
        change=order.change.short_id,
        base=order.change.base_version,
        chosen=order.change.chosen_version,
        current=report.current_version,
        detail=report.detail,
    )
