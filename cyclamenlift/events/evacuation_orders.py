"""Operators' orders to evacuate a data centre and to take it back.

They go the way of changes of the document: whoever takes one sees it through.
They carry no version, so an order names the revision of the evacuations that
its taker knew. If the leader finds that the data centre has changed since, the
taker decides: while its operator still waits, the order is new, and goes out
again on the newer revision; otherwise it was overtaken by a later order and
has no effect.
"""

from collections.abc import Callable

from returns.result import Result

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import publish_report
from cyclamenlift.events.context import ControlContext
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

    ``is_waiting`` returns whether the operator still waits for the answer.
    """

    def __init__(
        self,
        orders: OrderHandler,
        kind: str,
        data_centre: str,
        remote: Address,
        is_waiting: Callable[[], bool],
        done: Callable[[Order, PublishReport], None],
    ):
        self.orders = orders
        self.kind = kind
        self.data_centre = data_centre
        self.remote = remote
        self.is_waiting = is_waiting
        self.done = done

    def send(self, revision: int) -> None:
        """Send the order, based on a revision of the evacuations."""
        order = order_from(self.kind, revision, 0, self.data_centre.encode())

        def finish(report: PublishReport) -> None:
            self.on_report(order, report)

        self.orders.handle(order, self.remote, finish)

    def on_report(self, order: Order, report: PublishReport) -> None:
        """Answer, or send an order that is not overtaken again."""
        conflict = report.code == ResultCode.VERSION_CONFLICT
        newer = report.current_version > order.change.base_version
        if conflict and newer and self.is_waiting():
            self.send(report.current_version)
        else:
            self.done(order, report)


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
