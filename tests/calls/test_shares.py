"""Distribution of a route's requests over its services by weight."""

import collections
import random

import pytest

from cyclamenlift.calls.shares import WeightedRoundRobin
from cyclamenlift.models.rules import RouteRule
from cyclamenlift.models.rules import RouteShare


def route(**weights: int) -> RouteRule:
    shares = tuple(RouteShare(n, w) for n, w in weights.items())
    return RouteRule('r', 'h', '/', shares, True, 1.0, 0.5, 2, 0)


@pytest.mark.parametrize('weights', [{'a': 90, 'b': 10}, {'a': 1, 'b': 2}])
def test_any_run_of_requests_is_split_by_the_weights(weights):
    service_picker = WeightedRoundRobin(random.Random(4))
    wanted = route(**weights)
    counts = collections.Counter(
        service_picker.next_service(wanted) for _ in range(300)
    )
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(counts[name] - 300 * weight / total) <= 1


def test_a_service_of_zero_weight_gets_no_requests():
    service_picker = WeightedRoundRobin(random.Random(4))
    wanted = route(a=0, b=5)
    assert {service_picker.next_service(wanted) for _ in range(50)} == {'b'}


def test_many_entries_do_not_all_begin_with_the_same_service():
    wanted = route(a=50, b=50)
    firsts = {
        WeightedRoundRobin(random.Random(n)).next_service(wanted)
        for n in range(20)
    }
    assert firsts == {'a', 'b'}


def test_changed_weights_count_from_the_next_request():
    service_picker = WeightedRoundRobin(random.Random(4))
    for _ in range(5):
        service_picker.next_service(route(a=100, b=1))
    changed = route(a=0, b=1)
    assert service_picker.next_service(changed) == 'b'
