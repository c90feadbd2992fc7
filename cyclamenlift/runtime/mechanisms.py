"""The mechanisms of deciding, and how each is switched off.

What each is worth can only be told by running without it. A mechanism is
switched off once, when a daemon starts, by giving its part a neutral figure
or a neutral stand-in: no call meets a question for it.
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
# A share of the slots that calls never reach.
NEVER_CROWDED = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """``buys`` says in one line what it is there for."""

    buys: str
    switch_off: Callable[['DaemonNode'], None]


MECHANISMS: Registry[Mechanism] = Registry('mechanism')


def mechanism(name: str, buys: str):
    """Return a decorator that files a function that switches one off."""

    def decorate(switch_off: Callable[['DaemonNode'], None]):
        MECHANISMS.register(name)(Mechanism(buys, switch_off))
        return switch_off

    return decorate


def unknown_mechanisms(names: tuple[str, ...]) -> list[Problem]:
    """Return a numbered problem for each name that stands for none."""
    known = ', '.join(MECHANISMS)
    return [
        Problem(
            ResultCode.SETTING_INVALID,
            f'no mechanism {name!r}',
            'without',
            f'One of: {known}.',
        )
        for name in names
        if name not in MECHANISMS.items
    ]


def switch_off(node: 'DaemonNode', names: tuple[str, ...]) -> None:
    """Run a daemon without some mechanisms; the names are known ones."""
    for name in names:
        MECHANISMS.get(name).switch_off(node)
        LOG.warning('mechanism_off', mechanism=name)


# -- who enters a target --------------------------------------------------


def change_admission(node: 'DaemonNode', **figures: float) -> None:
    state = node.gate.state
    state.rules = dataclasses.replace(state.rules, **figures)


@mechanism('slots_by_crowding', 'runs as many calls as get most done')
def without_slots_by_crowding(node: 'DaemonNode') -> None:
    state = node.gate.state
    state.performance.make_limiter = FixedConcurrency
    state.set_slots(state.slots)


@mechanism('refuse_the_late', 'keeps slots of a crowd for calls in time')
def without_refusing_the_late(node: 'DaemonNode') -> None:
    change_admission(node, crowded_share=NEVER_CROWDED)


@mechanism('margin_by_spread', 'lets wait only what will rather be in time')
def without_margin_by_spread(node: 'DaemonNode') -> None:
    change_admission(node, crowded_spreads=0.0, wait_spreads=0.0)


@mechanism('reserved_slot', 'keeps a slot while more urgent calls come')
def without_reserved_slot(node: 'DaemonNode') -> None:
    change_admission(node, reserved_slots=0)


@mechanism('repeat_share', 'keeps slots from second tries')
def without_repeat_share(node: 'DaemonNode') -> None:
    change_admission(node, repeat_share=1.0)


@mechanism('nested_first', 'lets calls of running work go first')
def without_nested_first(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: (a.rank, not a.returned)


@mechanism('rank_order', 'lets the more urgent kinds go first')
def without_rank_order(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: (not a.nested, not a.returned)


@mechanism('returned_first', 'lets who was refused before go first')
def without_returned_first(node: 'DaemonNode') -> None:
    node.gate.state.order_of = lambda a: a.urgency


@mechanism('hopeless_back', 'sends back what a slow spell has made late')
def without_hopeless_back(node: 'DaemonNode') -> None:
    node.gate.admission_control.refuse_late_calls = lambda _now: None


@mechanism('hold_in_spells', 'holds calls while their target is slow')
def without_holding(node: 'DaemonNode') -> None:
    performance = node.gate.state.performance
    performance.best_start = lambda work, now: begin_now(
        performance, work, now
    )


def begin_now(
    performance: 'PerformanceModel', work: float, now: float
) -> StartPlan:
    """Return how long ``work`` takes that begins whatever the pace is."""
    percent = performance.pace.percent(now) or PERCENT
    return StartPlan(0.0, work * max(1.0, percent / PERCENT))


@mechanism('ask_pace', 'asks a target for its pace before a call begins')
def without_asking(node: 'DaemonNode') -> None:
    node.gate.admission_control.needs_pace_query = lambda _call, _now: False


@mechanism('path_lag', 'takes the time on a slow link off the time left')
def without_path_lag(node: 'DaemonNode') -> None:
    node.gate.transit_delay = lambda _link, _start: 0.0


@mechanism('pace_news', 'tells entries when a target changes its pace')
def without_pace_news(node: 'DaemonNode') -> None:
    node.gate.news.is_due = lambda _pace: False


# -- where a call goes ----------------------------------------------------


def change_services(node: 'DaemonNode', **fields: object) -> None:
    """Give every service of every document these values."""
    apply = node.calls.apply_rules

    def apply_changed(rules) -> None:
        services = {
            name: dataclasses.replace(rule, **fields)
            for name, rule in rules.services.items()
        }
        apply(dataclasses.replace(rules, services=services))

    node.calls.apply_rules = apply_changed


@mechanism('expected_finish', 'chooses by pace, work and calls before it')
def without_expected_finish(node: 'DaemonNode') -> None:
    change_services(node, policy='least_calls')


@mechanism('hedges', 'asks a second target when the first is slow')
def without_hedges(node: 'DaemonNode') -> None:
    change_services(node, hedge=False)


@mechanism('ejection', 'leaves targets out that fail')
def without_ejection(node: 'DaemonNode') -> None:
    change_services(node, ejection_share=0.0)


@mechanism('slow_start', 'gives new targets less for some seconds')
def without_slow_start(node: 'DaemonNode') -> None:
    change_services(node, slow_start_seconds=0.0)


@mechanism('distance', 'keeps large bodies in their data centre')
def without_distance(node: 'DaemonNode') -> None:
    node.routing.far_kilobyte_cost = 0.0


@mechanism('slow_hand_back', 'sends calls back that came to a slow target')
def without_slow_hand_back(node: 'DaemonNode') -> None:
    node.calls.max_pace_checks = 0


@mechanism('time_used_up', 'counts the objective from the first try')
def without_time_used_up(node: 'DaemonNode') -> None:
    node.calls.detect_return = lambda _request: None


@mechanism('quick_join', 'asks for the other members soon after a start')
def without_quick_join(node: 'DaemonNode') -> None:
    node.membership.join_steps = ()
