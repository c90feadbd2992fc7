"""Builders of rules, members and states for routing tests."""

import random

from cyclamenlift.models.document import document_from_value
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.state import RoutingState
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

SERVICE = 'prices'
SLOTS = 6


def build_rules(version: int = 1, **fields) -> EventRules:
    """Return rules with one service."""
    document = {
        'event': 'test',
        'starts_at': '2026-01-01T00:00:00Z',
        'ends_at': '2027-01-01T00:00:00Z',
        'services': [{'name': SERVICE, **fields}],
    }
    return rules_from_document(document_from_value(document).unwrap(), version)


def build_record(number: int, **changes) -> MemberRecord:
    """Return the record of target ``t<number>``; even ones are near."""
    record = MemberRecord(
        instance=f't{number}',
        incarnation=1,
        state=MemberState.ALIVE,
        data_centre='near' if number % 2 == 0 else 'far',
        peer_address=f'127.0.0.1:{1000 + number}',
        service_name=SERVICE,
        slots=SLOTS,
        target_state=TargetState.READY,
        target_name='',
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def build_state(count: int = 4, seed: int = 1, **fields) -> RoutingState:
    """Return an entry that knows ``count`` ready targets at time 0."""
    state = RoutingState('near', random.Random(seed))
    state.set_rules(build_rules(**fields))
    for number in range(count):
        state.note_member(build_record(number), 0.0)
    return state


def build_figures(in_flight=0, queued=0, **fields) -> LoadFigures:
    """Return the load figures of a healthy target."""
    figures = LoadFigures(in_flight, queued, SLOTS, 10_000, 0)
    figures.state = TargetState.READY
    for name, value in fields.items():
        setattr(figures, name, value)
    return figures


def call(state, now, outcome=Outcome.ANSWERED, seconds=0.01, only=None):
    """Start and end one call at ``now``; return the target's name."""
    name = only or state.choose(SERVICE, now).instance
    state.call_started(SERVICE, name, now)
    state.call_ended(SERVICE, name, outcome, seconds, now + seconds)
    return name


def without_distance(state: RoutingState) -> RoutingState:
    """Disable the distance cost, so that far targets are used as well."""
    for service in state.services.values():
        service.group.far_kilobyte_cost = 0.0
    return state


def chosen(state, now, count=200, exclude=frozenset()) -> dict[str, int]:
    """Return how often each target is chosen, without starting calls."""
    found: dict[str, int] = {}
    for _ in range(count):
        choice = state.choose(SERVICE, now, exclude)
        name = choice.instance if choice else ''
        found[name] = found.get(name, 0) + 1
    return found
