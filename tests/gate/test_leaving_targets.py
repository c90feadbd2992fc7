"""A target that says in its responses that it leaves gets no more calls.

Guards against a target whose announcements say ready, or are never heard,
while each of its responses says that it leaves.
"""

from tests.gate.simulation import GateInTime

LEAVING = 'x-leaving'
SAID_AT = 2.0
# Calls that were already under way when the first response said so.
ANSWER_SECONDS = 0.1


def test_no_call_starts_once_a_response_said_that_the_target_leaves():
    # Guards against a gate that heeds only announcements of a departure.
    bench = GateInTime()
    bench.load(60.0, 6.0)
    bench.time.run_until(SAID_AT)
    bench.target.say(LEAVING, '1', on_page=False)
    bench.time.run_until(6.0)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 6.0)
