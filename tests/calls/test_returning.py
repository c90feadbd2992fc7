"""Who has come back after a refusal, by the time it says it has left."""

from cyclamenlift.calls.returning import LEAST_SEEN
from cyclamenlift.calls.returning import REMEMBERED
from cyclamenlift.calls.returning import UsualTimes


def seen(*asked: int) -> UsualTimes:
    times = UsualTimes()
    for asked_ms in asked:
        times.used_up('look-up', asked_ms)
    return times


def test_nothing_is_concluded_from_a_few_requests():
    times = seen(*[1000] * (LEAST_SEEN - 2))
    assert times.used_up('look-up', 700) == 0


def test_who_has_less_than_the_usual_time_has_used_up_the_rest():
    times = seen(*[1000] * 20)
    assert times.used_up('look-up', 820) == 180
    assert times.used_up('look-up', 1000) == 0
    assert times.used_up('look-up', 1200) == 0


def test_half_of_all_may_come_back_each_with_another_time_left():
    asked = [1000 if n % 2 else 700 + n for n in range(80)]
    assert seen(*asked).used_up('look-up', 820) == 180


def test_callers_whose_times_vary_have_no_usual_one():
    asked = [700 + 7 * n % 300 for n in range(80)]
    assert seen(*asked).used_up('look-up', 500) == 0


def test_a_new_usual_time_takes_the_place_of_the_old_one():
    times = seen(*[1000] * 80, *[600] * REMEMBERED)
    assert times.used_up('look-up', 600) == 0
    assert times.used_up('look-up', 500) == 100


def test_routes_that_are_gone_are_forgotten():
    times = seen(*[1000] * 20)
    times.keep_only({'booking'})
    assert times.used_up('look-up', 700) == 0
