"""Operators' orders to evacuate a data centre and to take it back.

They go the way of changes of the document: whoever takes one sees it through.
They carry no version, so an order names the revision of the evacuations that
its taker knew when it read the order. If the leader finds that the data centre
has changed since, the taker sends it again on the newer revision.

A copy of an order may have lain at its taker, or on the way, while the
operator sent the order elsewhere and then the opposite one. Only its operator
tells such a copy from a new order: one that waits has sent nothing else. So
the taker makes sure that the operator waits before it sends an order, each
time, and drops the order otherwise.
"""

from collections.abc import Callable

from returns.result import Result
import structlog

from cyclamenlift.core.clock import deadline_after
from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Scheduler
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import publish_report
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.orders import CALLER_WAIT_SECONDS
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import order_from
from cyclamenlift.events.orders import ORDER_KINDS
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import OrderHandler
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.request_models import EvacuationChange
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.gen.protocol.ttypes import Command
from cyclamenlift.wire.gen.protocol.ttypes import EvacuateCommand

EVACUATE = 'evacuate'
TAKE_BACK = 'take back'
# How long an order is held before it is sent, in seconds. When a link carries
# again what it held up, the end of a connection arrives a round trip after
# its data; the largest round trip is 25 ms.
ARRIVAL_SECONDS = 0.05
LOG = structlog.get_logger('orders')


@ORDER_KINDS.register(EVACUATE)
def evacuate(context: ControlContext, order: Order, done: OrderDone) -> None:
    """Begin the evacuation of the data centre that the body names."""
    propose(context, order, True, done)


@ORDER_KINDS.register(TAKE_BACK)
def take_back(context: ControlContext, order: Order, done: OrderDone) -> None:
    """End the evacuation of the data centre that the body names."""
    propose(context, order, False, done)


def propose(
    context: ControlContext, order: Order, evacuated: bool, done: OrderDone
) -> None:
    """Propose a change as the leader; ``done`` is called once.

    Also proposed if nothing would change: the log confirms that this instance
    still leads.
    """
    if not context.leads():
        done(not_leader_report(context))
        return
    data_centre = order.body.decode()
    problem = find_problem(context, data_centre)
    if problem is not None:
        done(refused_report(context, problem))
        return
    command = EvacuateCommand(
        data_centre=data_centre,
        evacuated=evacuated,
        base_revision=order.change.base_version,
        operator_name=order.change.operator_name,
    )

    def finish(result: Result[bytes, Problem]) -> None:
        done(publish_report(context, result))

    context.replica.propose(encode_struct(Command(evacuate=command)), finish)


def find_problem(context: ControlContext, data_centre: str) -> Problem | None:
    """Return why an order can't be carried out, None if it can."""
    if data_centre not in context.find_data_centres():
        return Problem(ResultCode.DATA_CENTRE_UNKNOWN, data_centre[:100])
    outdated = context.find_outdated_peers()
    if outdated:
        # They would skip the entry, and lose the state once they lead.
        detail = f'of an older release: {", ".join(outdated)}'
        return Problem(ResultCode.EVACUATION_REFUSED, detail)
    return None


def refused_report(context: ControlContext, problem: Problem) -> PublishReport:
    return PublishReport(
        problem.code,
        context.instance,
        current_version=context.evacuations.revision,
        detail=problem.detail,
    )


class EvacuationRequest:
    """One order of an operator, on the instance that took it.

    ``is_awaited`` returns whether the operator is connected at this moment,
    including what has not been read from its connection. ``done`` is called
    once. ``boot_clock`` counts the time in which the machine was suspended.
    """

    def __init__(
        self,
        orders: OrderHandler,
        scheduler: Scheduler,
        kind: str,
        data_centre: str,
        remote: Address,
        is_awaited: Callable[[], bool],
        done: Callable[[Order, PublishReport], None],
        boot_clock: Callable[[], float] = seconds_since_boot,
    ):
        self.orders = orders
        self.scheduler = scheduler
        self.kind = kind
        self.data_centre = data_centre
        self.remote = remote
        self.is_awaited = is_awaited
        self.done = done
        self.boot_clock = boot_clock
        self.abandoned_at = deadline_after(boot_clock(), CALLER_WAIT_SECONDS)

    def send(self, revision: int) -> None:
        """Send the order, based on a revision of the evacuations.

        It is held for a moment first, so that the end of a connection that
        was held up is seen. Whatever changes after this revision, the leader
        finds out.
        """
        order = order_from(self.kind, revision, 0, self.data_centre.encode())
        self.scheduler.after(ARRIVAL_SECONDS, lambda: self.submit(order))

    def submit(self, order: Order) -> None:
        """Pass the order on if its operator still waits."""
        if not self.is_awaited():
            self.drop(order, 'the operator has disconnected')
        elif self.boot_clock() >= self.abandoned_at:
            self.drop(order, 'the operator has sent it elsewhere by now')
        else:
            self.orders.handle(
                order,
                self.remote,
                lambda report: self.on_report(order, report),
            )

    def on_report(self, order: Order, report: PublishReport) -> None:
        """Answer, or send an order that is based on an old revision again."""
        conflict = report.code == ResultCode.VERSION_CONFLICT
        if conflict and report.current_version > order.change.base_version:
            self.send(report.current_version)
        else:
            self.done(order, report)

    def drop(self, order: Order, reason: str) -> None:
        """End an order that nobody waits for; it is not carried out."""
        LOG.warning(
            'order_dropped',
            order=order.change.short_id,
            kind=order.kind,
            data_centre=self.data_centre[:100],
            base=order.change.base_version,
            remote=str(self.remote),
            reason=reason,
        )
        code = ResultCode.CANCELLED_NOT_RUN
        self.done(order, PublishReport(code, '', detail=reason))


def change_evacuation(
    context: ControlContext, change: EvacuationChange, done: OrderDone
) -> None:
    """Carry out an order from the console or the command line."""
    kind = EVACUATE if change.evacuated else TAKE_BACK
    order = order_from(
        kind,
        change.base_revision,
        0,
        change.data_centre.encode(),
        change.operator_name,
    )
    propose(context, order, change.evacuated, done)
