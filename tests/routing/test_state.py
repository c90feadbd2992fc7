"""Routing decisions of one entry, case by case."""

import pytest

from cyclamenlift.routing.ejection import ejection_limit
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.policies import POLICIES
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.routing.builders import build_figures
from tests.routing.builders import build_record
from tests.routing.builders import build_rules
from tests.routing.builders import build_state
from tests.routing.builders import call
from tests.routing.builders import chosen
from tests.routing.builders import SERVICE
from tests.routing.builders import without_distance

ALL = {'t0', 't1', 't2', 't3'}
POLICY_NAMES = list(POLICIES)


@pytest.mark.parametrize('policy', POLICY_NAMES)
@pytest.mark.parametrize(
    'changes',
    [
        {'target_state': TargetState.DRAINING},
        {'target_state': TargetState.STARTING},
        {'target_state': TargetState.UNHEALTHY},
        {'state': MemberState.SUSPECT},
        {'state': MemberState.DEAD},
        {'state': MemberState.LEFT},
        {'service_name': 'other'},
        {'peer_address': 'nonsense'},
        {'target_name': 'stranger'},
        {'data_centre': 'elsewhere'},
    ],
)
def test_a_target_that_may_not_serve_is_not_chosen(policy, changes):
    state = without_distance(
        build_state(
            policy=policy, targets=['t*'], data_centres=['near', 'far']
        )
    )
    state.note_member(build_record(1, incarnation=2, **changes), 1.0)
    assert set(chosen(state, 1.0)) == ALL - {'t1'}


@pytest.mark.parametrize('policy', POLICY_NAMES)
def test_an_excluded_target_is_not_chosen(policy):
    state = build_state(policy=policy)
    found = chosen(state, 1.0, exclude=frozenset({'t0', 't2'}))
    assert set(found) == {'t1', 't3'}
    assert state.choose(SERVICE, 1.0, frozenset(ALL)) is None


@pytest.mark.parametrize(
    ('service', 'targets'), [('unknown', 4), (SERVICE, 0)]
)
def test_no_target_is_no_choice(service, targets):
    assert build_state(targets).choose(service, 1.0) is None


@pytest.mark.parametrize('policy', POLICY_NAMES)
def test_when_all_look_bad_all_are_used(policy):
    state = without_distance(build_state(policy=policy))
    for number in range(4):
        record = build_record(number, target_state=TargetState.UNHEALTHY)
        state.note_member(record, 1.0)
    assert set(chosen(state, 1.0)) == ALL


@pytest.mark.parametrize('broken', range(5))
def test_ejection_stays_within_its_share(broken):
    state = build_state(8, ejection_percent=30)
    limit = ejection_limit(8, 0.3)
    for number in range(broken):
        for _ in range(5):
            call(state, 1.0, Outcome.LOST, only=f't{number}')
    group = state.services[SERVICE].group
    group.refresh(1.1)
    expected = 8 - broken if broken <= limit else 8
    assert len(group.live) == expected


def test_an_ejected_target_comes_back_after_its_deadline():
    state = build_state(policy='random')
    call(state, 1.0, Outcome.LOST, only='t1')
    assert set(chosen(state, 1.5)) == ALL - {'t1'}
    assert set(chosen(state, 4.0)) == ALL


@pytest.mark.parametrize('policy', POLICY_NAMES)
def test_second_try_avoids_suspects_even_if_too_many_to_eject(policy):
    state = build_state(policy=policy)
    for number in range(3):
        record = build_record(number, state=MemberState.SUSPECT)
        state.note_member(record, 1.0)
    assert len(chosen(state, 1.0)) > 1
    assert set(chosen(state, 1.0, exclude=frozenset({'t0'}))) == {'t3'}


def test_an_ejected_target_serves_when_all_others_are_excluded():
    state = build_state()
    call(state, 1.0, Outcome.LOST, only='t1')
    found = chosen(state, 1.1, exclude=frozenset(ALL - {'t1'}))
    assert set(found) == {'t1'}


@pytest.mark.parametrize(
    'report',
    [
        lambda state: call(
            state, 1.0, Outcome.REFUSED_DRAINING, 0.001, only='t1'
        ),
        lambda state: state.note_load(
            SERVICE, 't1', build_figures(state=TargetState.DRAINING), 1.0
        ),
    ],
)
def test_a_drain_is_respected_before_gossip_reports_it(report):
    state = build_state()
    report(state)
    assert set(chosen(state, 1.1)) == ALL - {'t1'}


@pytest.mark.parametrize('ejection', [0, 30])
def test_a_target_that_fails_fast_loses_traffic(ejection):
    state = build_state(3, ejection_percent=ejection)
    now = 1.0
    used = {'t0': 0, 't1': 0, 't2': 0}
    for _ in range(600):
        name = state.choose(SERVICE, now).instance
        used[name] += 1
        failed = name == 't1'
        outcome = Outcome.TARGET_ERROR if failed else Outcome.ANSWERED
        call(state, now, outcome, 0.0005 if failed else 0.02, only=name)
        now += 0.01
    assert used['t1'] < 0.02 * 600


def test_a_straggler_loses_traffic_and_is_tried_again_later():
    state = build_state(4)
    now = 1.0
    used: dict[str, int] = {}
    for _ in range(400):
        name = state.choose(SERVICE, now).instance
        used[name] = used.get(name, 0) + 1
        seconds = 0.2 if name == 't1' else 0.02
        call(state, now, Outcome.ANSWERED, seconds, only=name)
        state.note_load(
            SERVICE, name, build_figures(latency_us=int(seconds * 1e6)), now
        )
        now += 0.01
    assert used.get('t1', 0) < 20
    later = [state.choose(SERVICE, now + 60.0).instance for _ in range(200)]
    assert 't1' in later


def test_a_hanging_call_diverts_new_calls():
    state = build_state(2, data_centres=['near', 'far'])
    for step in range(20):
        call(state, 1.0 + step * 0.1)
    state.call_started(SERVICE, 't0', 3.0)
    assert set(chosen(state, 3.2)) == {'t1'}


def test_a_long_upload_does_not_divert_look_ups():
    state = build_state(2)
    state.call_started(SERVICE, 't0', 0.0)
    for step in range(40):
        name = f't{step % 2}'
        call(state, 1.0 + step * 0.1, only=name)
        state.note_load(SERVICE, name, build_figures(), 1.0 + step * 0.1)
    assert set(chosen(state, 5.02)) == {'t0', 't1'}


def test_figures_are_ignored_after_their_deadline():
    state = build_state(2)
    state.note_load(SERVICE, 't0', build_figures(6, 10), 1.0)
    assert set(chosen(state, 1.0)) == {'t1'}
    assert set(chosen(state, 30.0)) == {'t0', 't1'}


@pytest.mark.parametrize(
    ('before', 'hot'), [(0, False), (4, False), (5, True), (6, True)]
)
def test_a_choice_is_hot_when_slots_look_taken(before, hot):
    state = build_state(1)
    for _ in range(before):
        state.call_started(SERVICE, 't0', 1.0)
    assert state.choose(SERVICE, 1.0).hot is hot


def test_a_refusal_for_overload_makes_a_target_hot_for_a_moment():
    state = build_state(1)
    call(state, 1.0, Outcome.REFUSED_OVERLOAD, 0.001)
    assert state.choose(SERVICE, 1.01).hot
    assert not state.choose(SERVICE, 1.2).hot


@pytest.mark.parametrize('policy', POLICY_NAMES)
def test_a_target_that_joins_ramps_up(policy):
    state = build_state(4, policy=policy, slow_start_ms=10_000)
    state.note_member(build_record(4), 100.0)
    shares = [chosen(state, 100.0 + age, 2000) for age in (0.1, 5.0, 11.0)]
    used = [found.get('t4', 0) for found in shares]
    assert used[0] < used[1] < used[2]
    assert used[0] < 0.06 * 2000


def test_members_known_from_the_start_do_not_ramp():
    state = build_state(4, slow_start_ms=10_000)
    group = state.services[SERVICE].group
    assert {group.ramp(c, 0.1) for c in group.candidates.values()} == {1.0}


def test_new_rules_keep_estimates_and_drop_targets_not_allowed():
    state = build_state(4)
    state.call_started(SERVICE, 't0', 1.0)
    state.set_rules(build_rules(2, targets=['t0', 't3']))
    assert state.find(SERVICE, 't0').estimate.in_flight == 1
    assert set(chosen(state, 1.0)) == {'t0', 't3'}


@pytest.mark.parametrize('outcome', list(Outcome))
def test_each_end_takes_one_call_out_of_flight(outcome):
    state = build_state(2)
    state.call_started(SERVICE, 't0', 1.0)
    state.call_started(SERVICE, 't0', 1.1)
    state.call_ended(SERVICE, 't0', outcome, 0.2, 1.2)
    estimate = state.find(SERVICE, 't0').estimate
    assert estimate.in_flight == 1
    assert estimate.starts == [1.1]
    state.call_ended(SERVICE, 'gone', outcome, 0.2, 1.2)


def test_hedges_wait_for_a_quantile_of_answer_times():
    state = build_state(2)
    assert state.hedge_delay(SERVICE, 1.0) is None
    for step in range(100):
        call(state, 1.0, seconds=0.001 * (step + 1))
    assert 0.05 < state.hedge_delay(SERVICE, 2.0) < 0.1
    state.set_rules(build_rules(2, hedge=False))
    assert state.hedge_delay(SERVICE, 2.0) is None


def test_probes_follow_calls_and_the_share_of_the_budget():
    state = build_state(4, probe_budget_per_second=8)
    sent = 0
    for step in range(1000):
        call(state, 1.0 + step * 0.001)
        sent += len(state.probes_due(SERVICE, 1.0 + step * 0.001))
    assert 0 < sent <= 8 / 4
    assert build_state(4).probes_due(SERVICE, 1.0) == []
