"""Detection of callers that retry after a refusal, by their timeouts."""

from cyclamenlift.calls.usual_timeouts import MAX_REMEMBERED
from cyclamenlift.calls.usual_timeouts import MIN_SEEN
from cyclamenlift.calls.usual_timeouts import UsualTimeouts


def seen(*asked: int) -> UsualTimeouts:
    times = UsualTimeouts()
    for asked_ms in asked:
        times.elapsed_ms('look-up', asked_ms)
    return times


def test_no_usual_timeout_from_a_few_requests():
    times = seen(*[1000] * (MIN_SEEN - 2))
    assert times.elapsed_ms('look-up', 700) == 0


def test_a_shorter_timeout_means_that_the_difference_has_elapsed():
    times = seen(*[1000] * 20)
    assert times.elapsed_ms('look-up', 820) == 180
    assert times.elapsed_ms('look-up', 1000) == 0
    assert times.elapsed_ms('look-up', 1200) == 0


def test_usual_timeout_is_found_when_half_of_the_requests_are_retries():
    asked = [1000 if n % 2 else 700 + n for n in range(80)]
    assert seen(*asked).elapsed_ms('look-up', 820) == 180


def test_varying_timeouts_have_no_usual_one():
    asked = [700 + 7 * n % 300 for n in range(80)]
    assert seen(*asked).elapsed_ms('look-up', 500) == 0


def test_a_new_usual_timeout_replaces_the_old_one():
    times = seen(*[1000] * 80, *[600] * MAX_REMEMBERED)
    assert times.elapsed_ms('look-up', 600) == 0
    assert times.elapsed_ms('look-up', 500) == 100


def test_removed_routes_are_dropped():
    times = seen(*[1000] * 20)
    times.keep_only({'booking'})
    assert times.elapsed_ms('look-up', 700) == 0
