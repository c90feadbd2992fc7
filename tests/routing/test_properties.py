"""Properties of routing decisions under arbitrary event sequences."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenlift.routing.ejection import ejection_limit
from cyclamenlift.routing.estimates import Estimate
from cyclamenlift.routing.estimates import LOAD_SECONDS
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.policies import POLICIES
from cyclamenlift.routing.probes import ProbeAllowance
from cyclamenlift.routing.probes import ProbeWindow
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.routing.builders import build_figures
from tests.routing.builders import build_record
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE

TARGETS = 5
NEVER_USED = (TargetState.DRAINING, TargetState.STARTING)
GONE = (MemberState.DEAD, MemberState.LEFT)
STEP = st.tuples(
    st.integers(0, TARGETS - 1),
    st.one_of(
        st.sampled_from(Outcome),
        st.sampled_from(list(TargetState)),
        st.sampled_from(list(MemberState)),
        st.integers(0, 40),
    ),
    st.floats(0.0, 3.0),
)
PROFILE = settings(derandomize=True, deadline=None, max_examples=150)


def apply(state, number: int, what, now: float, records: dict) -> None:
    """Apply one event to the state."""
    record = records[number]
    name = record.instance
    if isinstance(what, Outcome):
        state.call_started(SERVICE, name, now)
        state.call_ended(SERVICE, name, what, 0.01, now + 0.01)
    elif isinstance(what, TargetState | MemberState):
        record = build_record(
            number,
            incarnation=record.incarnation + 1,
            target_state=record.target_state,
            state=record.state,
        )
        if isinstance(what, TargetState):
            record.target_state = what
        else:
            record.state = what
        records[number] = record
        state.note_member(record, now)
    else:
        state.note_load(SERVICE, name, build_figures(what), now)


@PROFILE
@given(
    st.sampled_from(list(POLICIES)),
    st.lists(STEP, max_size=40),
    st.sets(st.integers(0, TARGETS - 1)),
)
def test_only_targets_that_may_serve_are_chosen(policy, steps, excluded):
    state = build_state(TARGETS, policy=policy)
    records = {n: build_record(n) for n in range(TARGETS)}
    exclude = frozenset(f't{n}' for n in excluded)
    now = 1.0
    for number, what, pause in steps:
        apply(state, number, what, now, records)
        now += pause
        serving = {
            record.instance
            for record in records.values()
            if record.state not in GONE
            and record.target_state not in NEVER_USED
        } - exclude
        choice = state.choose(SERVICE, now, exclude)
        if choice is not None:
            assert choice.instance in serving
            continue
        drained = [
            c
            for c in state.services[SERVICE].group.candidates.values()
            if c.instance in serving and now < c.drain_deadline
        ]
        assert len(drained) == len(serving)


@PROFILE
@given(
    st.integers(0, 100),
    st.lists(st.sampled_from([0.05, 0.5, 3.0]), max_size=60),
    st.lists(st.integers(0, TARGETS - 1), min_size=60, max_size=60),
)
def test_ejection_never_exceeds_its_share(percent, pauses, numbers):
    state = build_state(TARGETS, ejection_percent=percent)
    limit = ejection_limit(TARGETS, percent / 100)
    group = state.services[SERVICE].group
    now = 1.0
    for number, pause in zip(numbers, pauses, strict=False):
        name = f't{number}'
        state.call_started(SERVICE, name, now)
        state.call_ended(SERVICE, name, Outcome.LOST, 0.0, now)
        group.refresh(now)
        assert len(group.live) >= TARGETS - limit
        now += pause


@PROFILE
@given(
    st.floats(0.0, 50.0),
    st.lists(st.floats(0.0, 0.7), max_size=200),
)
def test_no_second_holds_more_probes_than_the_budget(rate, pauses):
    window = ProbeWindow(rate)
    now = 1.0
    grants: list[float] = []
    for pause in pauses:
        now += pause
        if window.take(now):
            grants.append(now)
        length = 1.0 if rate >= 1.0 else 1.0 / max(rate, 1e-9)
        latest = [g for g in grants if now - g < length]
        assert len(latest) <= max(rate, 1.0 if rate else 0.0)


@PROFILE
@given(st.lists(st.booleans(), max_size=300))
def test_probes_are_at_most_a_share_of_the_calls(steps):
    allowance = ProbeAllowance(1e6)
    calls = 0
    probes = 0
    for is_call in steps:
        if is_call:
            allowance.note_call()
            calls += 1
        elif allowance.take(float(calls)):
            probes += 1
        assert probes <= 0.05 * calls


@PROFILE
@given(
    st.integers(0, 10_000),
    st.integers(0, 10_000),
    st.integers(0, 20),
    st.floats(0.0, 100.0),
)
def test_load_lies_between_own_calls_and_reported_calls(
    in_flight, queued, own, age
):
    estimate = Estimate()
    for _ in range(own):
        estimate.call_started(0.0)
    estimate.note_load(build_figures(in_flight, queued), 0.0)
    load = estimate.load(0.01, age)
    assert own <= load <= max(own, in_flight + queued)
    if age >= LOAD_SECONDS:
        assert load == own


@PROFILE
@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 5.0)), max_size=60))
def test_own_calls_in_flight_are_exact(steps):
    estimate = Estimate()
    now = 0.0
    starts: list[float] = []
    for is_start, pause in steps:
        now += pause
        if is_start:
            estimate.call_started(now)
            starts.append(now)
        elif starts:
            start = starts.pop(len(starts) // 2)
            estimate.call_ended(now - start, now)
        assert estimate.in_flight == len(starts) == len(estimate.starts)
        assert estimate.in_flight_age(0.01, now) >= 0.0
