"""Orders of operators: changes that any instance takes and sees through."""

from collections.abc import Callable
import dataclasses
import hashlib
from typing import Protocol

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.registry import Registry
from cyclamenlift.core.streams import Address
from cyclamenlift.events.commands import Change
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import PublishReport

# How long an instance tries before it says that it got no outcome, in
# seconds: callers wait for a second.
PATIENCE_SECONDS = 0.7
# Larger orders go from their callers to the leader: they would fill the
# links of daemons and, between control instances, hold up the log.
MOST_CARRIED_BYTES = 32 * 1024
MOST_DESK_BYTES = 256 * 1024
# Codes that leave open what becomes of an order.
OPEN_CODES = (ResultCode.NOT_LEADER, ResultCode.CHANGE_UNKNOWN)
LOG = structlog.get_logger('orders')


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A change as its operator wrote it.

    ``kind`` says how the leader reads the body. The change id is made of
    all the rest, so it stands for one order alone.
    """

    kind: str
    change: Change
    body: bytes


def order_from(
    kind: str, base_version: int, chosen_version: int, body: bytes
) -> Order:
    """Return an order; its change id stays the same when it comes again."""
    digest = hashlib.sha256(f'{kind}\n{base_version}\n'.encode() + body)
    change = Change(
        change_id=digest.hexdigest(),
        base_version=base_version,
        chosen_version=chosen_version,
    )
    return Order(kind, change, body)


OrderDone = Callable[[PublishReport], None]
OrderKind = Callable[[ControlContext, Order, OrderDone], None]
# How the leader carries out an order, by its kind.
ORDER_KINDS: Registry[OrderKind] = Registry('kind of order')


class OrderTaker(Protocol):
    """What serves operators, on a control instance or on a daemon."""

    def take(self, order: Order, remote: Address, done: OrderDone) -> None:
        """See an order through; ``done`` gets the outcome, once.

        NOT_LEADER says that it was certainly not carried out, and
        CHANGE_UNKNOWN that it may have been.
        """

    def takes(self, body_length: int | None) -> bool:
        """Tell whether an order of this size is taken (None: unknown)."""

    def read(self, done: Callable[[DocumentReport], None]) -> bool:
        """Report the newest document; False if only others can."""

    def place(self) -> Address | None:
        """Return where the leader is or, unless known, who may know."""

    def elsewhere(self) -> Address | None:
        """Return who may take an order that found no leader from here."""


def log_taken(order: Order, remote: Address, leads: bool) -> None:
    """Tell that an order arrived here from its operator."""
    LOG.info(
        'order_taken',
        order=order.change.shown_id,
        kind=order.kind,
        base=order.change.base_version,
        chosen=order.change.chosen_version,
        remote=str(remote),
        leads=leads,
    )


def log_sent_on(path: str, place: Address | None) -> None:
    """Tell where a caller was sent, or that there was no place."""
    LOG.info('caller_sent_on', path=path[:100], place=str(place or ''))


def log_answered(order: Order, report: PublishReport) -> None:
    """Tell what the operator of an order is answered."""
    LOG.info(
        'change_answered',
        code=int(report.code),
        change=order.change.shown_id,
        base=order.change.base_version,
        chosen=order.change.chosen_version,
        current=report.current_version,
        detail=report.detail,
    )
