"""The next step of a call after the end of a try."""

import pytest

from cyclamenlift.calls.budgets import BodyBudget
from cyclamenlift.calls.budgets import RetryBudget
from cyclamenlift.calls.state import CallState
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.calls.state import Step
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode

ANSWERED = Ending(EndKind.ANSWERED)
ERROR = Ending(EndKind.TARGET_ERROR)
OVERLOADED = Ending(EndKind.NOT_RUN, ResultCode.OVERLOADED, 40)
DRAINING = Ending(EndKind.NOT_RUN, ResultCode.DRAINING)
LOST = Ending(EndKind.UNKNOWN, ResultCode.PEER_LOST)


def call(idempotent=True, balance=10.0, max_tries=3) -> CallState:
    budget = RetryBudget(0.0)
    budget.balance = balance
    return CallState(idempotent, max_tries, 10.0, budget)


@pytest.mark.parametrize(
    ('idempotent', 'balance', 'now', 'ending', 'step'),
    [
        (True, 10, 0, ANSWERED, Step.ANSWER),
        (True, 10, 0, ERROR, Step.RETRY),
        (False, 10, 0, ERROR, Step.ANSWER),
        (True, 0, 0, ERROR, Step.ANSWER),
        (True, 10, 0, OVERLOADED, Step.RETRY),
        (False, 10, 0, OVERLOADED, Step.RETRY),
        (True, 0, 0, OVERLOADED, Step.GIVE_UP),
        (False, 0, 0, DRAINING, Step.RETRY),
        (True, 10, 0, LOST, Step.RETRY),
        (False, 10, 0, LOST, Step.GIVE_UP),
        (True, 10, 10, OVERLOADED, Step.GIVE_UP),
    ],
)
def test_step_after_one_try(idempotent, balance, now, ending, step):
    state = call(idempotent, balance)
    state.try_started()
    assert state.try_ended(ending, now) is step


def test_an_unknown_outcome_of_a_try_is_kept():
    state = call()
    for ending in (LOST, OVERLOADED, OVERLOADED):
        state.try_started()
        state.try_ended(ending, 0.0)
    assert state.final_code() == ResultCode.PEER_LOST
    assert state.deadline_code(True) == ResultCode.PEER_LOST


def test_all_tries_refused_is_not_run_with_the_longest_wait():
    state = call(max_tries=1)
    state.try_started()
    assert state.try_ended(OVERLOADED, 0.0) is Step.GIVE_UP
    assert is_not_run(state.final_code())
    assert state.retry_after_ms == 40


@pytest.mark.parametrize(
    ('open_tries', 'unsent', 'code'),
    [
        (0, True, ResultCode.DEADLINE_NOT_RUN),
        (1, True, ResultCode.DEADLINE_NOT_RUN),
        (1, False, ResultCode.DEADLINE_UNKNOWN),
    ],
)
def test_code_at_the_deadline(open_tries, unsent, code):
    state = call()
    for _ in range(open_tries):
        state.try_started()
    assert state.deadline_code(unsent) == code


@pytest.mark.parametrize(
    ('idempotent', 'balance', 'open_tries', 'hedge'),
    [
        (True, 1.0, 1, True),
        (False, 1.0, 1, False),
        (True, 0.0, 1, False),
        (True, 1.0, 2, False),
        (True, 1.0, 0, False),
    ],
)
def test_hedges_only_idempotent_calls_within_the_budget(
    idempotent, balance, open_tries, hedge
):
    state = call(idempotent, balance)
    for _ in range(open_tries):
        state.try_started()
    assert state.may_hedge() is hedge


@pytest.mark.parametrize(
    ('idempotent', 'balance', 'open_tries', 'rescued'),
    [
        (True, 1.0, 1, True),
        (True, 1.0, 2, True),
        (True, 1.0, 3, False),
        (True, 1.0, 0, False),
        (True, 0.0, 2, False),
        (False, 1.0, 1, False),
    ],
)
def test_rescues_a_call_whose_open_tries_are_silent(
    idempotent, balance, open_tries, rescued
):
    state = call(idempotent, balance)
    for _ in range(open_tries):
        state.try_started()
    assert state.may_hedge(rescue=True) is rescued


def test_rescue_may_follow_tries_that_were_all_refused():
    state = call(balance=10.0)
    for _ in range(2):
        state.try_started()
        state.try_ended(OVERLOADED, 0.0)
    state.try_started()
    assert not state.may_hedge()
    assert state.may_hedge(rescue=True)


def test_end_of_one_try_waits_for_the_other():
    state = call()
    state.try_started()
    state.try_started()
    assert state.try_ended(LOST, 0.0) is Step.WAIT
    assert state.try_ended(ANSWERED, 0.0) is Step.ANSWER


def test_retries_stay_within_their_share_of_first_tries():
    budget = RetryBudget(0.1)
    budget.balance = 0.0
    taken = 0
    for _ in range(1000):
        budget.earn()
        taken += budget.take()
    assert taken <= 100


def test_body_budget_refuses_what_does_not_fit():
    budget = BodyBudget(10)
    assert budget.reserve(6)
    assert not budget.reserve(5)
    budget.free(6)
    assert budget.reserve(10)
