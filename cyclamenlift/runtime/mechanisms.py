"""Registry of load-balancing mechanisms that can be disabled.

Ablation runs disable a mechanism to measure its contribution. It is disabled
once at startup by replacing a parameter or a method with a neutral one, so
that no call pays for a check.
"""

from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.registry import Registry
from cyclamenlift.gate.concurrency import FixedConcurrency
from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import StartPlan

if TYPE_CHECKING:
    from cyclamenlift.gate.performance import PerformanceModel
    from cyclamenlift.runtime.daemon import DaemonNode

LOG = structlog.get_logger('mechanisms')
# A load, as a share of the slots, that is never reached.
UNREACHABLE_SHARE = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism: its benefit in one line and how to disable it."""

    benefit: str
    disable: Callable[['DaemonNode'], None]


MECHANISMS: Registry[Mechanism] = Registry('mechanism')


def mechanism(name: str, benefit: str):
    """Return a decorator registering the function that disables one."""

    def decorate(disable: Callable[['DaemonNode'], None]):
        MECHANISMS.register(name)(Mechanism(benefit, disable))
        return disable

    return decorate


def unknown_mechanisms(names: tuple[str, ...]) -> list[Problem]:
    """Return a numbered problem for each name that is not registered."""
    known = ', '.join(MECHANISMS)
    return [
        Problem(
            ResultCode.SETTING_INVALID,
            f'unknown mechanism {name!r}',
            'without',
            f'One of: {known}.',
        )
        for name in names
        if name not in MECHANISMS.items
    ]


def disable(node: 'DaemonNode', names: tuple[str, ...]) -> None:
    """Disable mechanisms of a daemon; every name must be registered."""
    for name in names:
        MECHANISMS.get(name).disable(node)
        LOG.warning('mechanism_off', mechanism=name)


# -- admission to a target ------------------------------------------------


def override_admission_rules(node: 'DaemonNode', **overrides: float) -> None:
    state = node.gate.state
    state.rules = dataclasses.replace(state.rules, **overrides)


@mechanism('slots_by_crowding', 'adapts concurrency to the highest throughput')
def without_slots_by_crowding(node: 'DaemonNode') -> None:
    state = node.gate.state
    state.performance.make_limiter = FixedConcurrency
    state.set_slots(state.slots)


@mechanism('refuse_the_late', 'refuses late calls when a target is busy')
def without_refusing_the_late(node: 'DaemonNode') -> None:
    override_admission_rules(node, crowded_share=UNREACHABLE_SHARE)


@mechanism('margin_by_spread', 'queues only calls likely to be in time')
def without_margin_by_spread(node: 'DaemonNode') -> None:
    override_admission_rules(node, crowded_spreads=0.0, wait_spreads=0.0)


@mechanism('reserved_slot', 'keeps a slot free for more urgent calls')
def without_reserved_slot(node: 'DaemonNode') -> None:
    override_admission_rules(node, reserved_slots=0)


@mechanism('repeat_share', 'limits the slots that retries may use')
def without_repeat_share(node: 'DaemonNode') -> None:
    override_admission_rules(node, repeat_share=1.0)


@mechanism('nested_first', 'prioritises calls nested in running calls')
def without_nested_first(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: (a.rank, not a.returned)


@mechanism('fair_shares', 'gives competing client accounts their turns')
def without_fair_shares(node: 'DaemonNode') -> None:
    node.gate.state.fair_shares.charge = lambda _account, _work: 0.0
    node.gate.state.fair_shares.tag = lambda _account, _work: 0.0


@mechanism('rank_order', 'orders waiting calls by the rank of their route')
def without_rank_order(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: (not a.nested, not a.returned)


@mechanism('returned_first', 'prioritises callers that retry after a refusal')
def without_returned_first(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: a.urgency


@mechanism('hopeless_back', 'refuses queued calls that a slowdown made late')
def without_hopeless_back(node: 'DaemonNode') -> None:
    node.gate.admission_control.refuse_late_calls = lambda _now: None


@mechanism('hold_in_spells', 'delays calls during a slowdown of the target')
def without_holding(node: 'DaemonNode') -> None:
    performance = node.gate.state.performance
    performance.best_start = lambda work, now: estimate_without_delay(
        performance, work, now
    )


def estimate_without_delay(
    performance: 'PerformanceModel', work: float, now: float
) -> StartPlan:
    """Return the estimate for ``work`` that starts without any delay."""
    percent = performance.pace.percent(now) or PERCENT
    return StartPlan(0.0, work * max(1.0, percent / PERCENT))


@mechanism('ask_pace', 'polls the pace of a target before a call begins')
def without_asking(node: 'DaemonNode') -> None:
    node.gate.admission_control.needs_pace_query = lambda _call, _now: False


@mechanism('path_lag', 'deducts the delay of a slow link from the time left')
def without_path_lag(node: 'DaemonNode') -> None:
    node.gate.transit_delay = lambda _link, _start: 0.0


@mechanism('pace_news', 'notifies entries when the pace of a target changes')
def without_pace_news(node: 'DaemonNode') -> None:
    node.gate.pace_notifier.is_due = lambda _pace: False


# -- choice of target -----------------------------------------------------


def override_services(node: 'DaemonNode', **fields: object) -> None:
    """Override fields of every service in each document applied."""
    apply = node.calls.apply_rules

    def apply_overridden(rules) -> None:
        services = {
            name: dataclasses.replace(rule, **fields)
            for name, rule in rules.services.items()
        }
        apply(dataclasses.replace(rules, services=services))

    node.calls.apply_rules = apply_overridden


@mechanism(
    'expected_finish', 'chooses the target with the earliest estimated finish'
)
def without_expected_finish(node: 'DaemonNode') -> None:
    override_services(node, policy='least_calls')


@mechanism('hedges', 'tries a second target when the first is slow')
def without_hedges(node: 'DaemonNode') -> None:
    override_services(node, hedge=False)


@mechanism('ejection', 'excludes failing targets')
def without_ejection(node: 'DaemonNode') -> None:
    override_services(node, ejection_share=0.0)


@mechanism('slow_start', 'ramps up the load of new targets')
def without_slow_start(node: 'DaemonNode') -> None:
    override_services(node, slow_start_seconds=0.0)


@mechanism('distance', 'keeps large bodies inside their data centre')
def without_distance(node: 'DaemonNode') -> None:
    node.routing.far_kilobyte_cost = 0.0


@mechanism('slow_hand_back', 'returns calls that reached a slow target')
def without_slow_hand_back(node: 'DaemonNode') -> None:
    node.calls.max_pace_checks = 0


@mechanism('time_used_up', 'measures the objective from the first try')
def without_time_used_up(node: 'DaemonNode') -> None:
    node.calls.detect_return = lambda _request: None


@mechanism('quick_join', 'requests the member list soon after a start')
def without_quick_join(node: 'DaemonNode') -> None:
    node.membership.join_steps = ()
