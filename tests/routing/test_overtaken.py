"""Detection of a frozen target while hedges answer its calls."""

import random

import pytest

from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.state import RoutingState
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import rules

FROZEN = 'p0'
ANSWER = 0.005
HEDGED = 0.013


def entry(seed: int) -> RoutingState:
    routing = RoutingState('dc', random.Random(seed))
    routing.set_rules(rules())
    for number in range(3):
        record = MemberRecord(
            instance=f'p{number}',
            incarnation=1,
            state=MemberState.ALIVE,
            data_centre='dc',
            peer_address='127.0.0.1:1',
            service_name='prices',
            slots=4,
            target_state=TargetState.READY,
            target_name=f'p{number}',
        )
        routing.note_member(record, 0.0)
    return routing


@pytest.mark.parametrize('seed', range(4))
def test_hedges_that_answer_first_do_not_hide_a_frozen_target(seed):
    """Its gate still reports the old latency, and no call ever fails."""
    routing = entry(seed)
    load = LoadFigures(0, 0, 4, int(ANSWER * 1e6), 0, TargetState.READY)
    now, chosen = 1.0, []
    for number in range(160):
        now += 0.012
        name = routing.choose('prices', now).instance
        chosen.append(name)
        routing.call_started('prices', name, now)
        if number < 80 or name != FROZEN:
            now += ANSWER
            routing.note_load('prices', name, load, now)
            ending = (Outcome.ANSWERED, ANSWER, now)
        else:
            now += HEDGED
            ending = (Outcome.OVERTAKEN, HEDGED, now)
        routing.call_ended('prices', name, *ending)
    assert chosen[80:].count(FROZEN) <= 4
