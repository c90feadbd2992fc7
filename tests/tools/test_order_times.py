"""Times of orders from the lines of a play, with and without the new lines."""

import json

import pytest

from bench.order_times import find_orders
from bench.order_times import main
from bench.order_times import Order
from bench.order_times import read_play
from bench.order_times import Span
from bench.order_times import summary
from bench.order_times import table

UNSTABLE = 'the core was not stable: 4.000 to 7.000, 18.000 to 21.000'
SHORT = 'short of the gate: a valid config (version 29) had no ack'


def line(at: float, place: str, event: str, **fields: object) -> str:
    return f'{at:9.4f} {place} ' + json.dumps({'event': event, **fields})


def old(at: float, change: str, code: int = 5000) -> str:
    return line(at, 'core-1', 'change_answered', change=change, code=code)


def taken(at: float, order: str, place: str = 'side-1') -> str:
    return line(
        at, place, 'order_taken', order=order, kind='patch', instance=place
    )


def answered(
    at: float, order: str, code: int = 200, seconds: float = 0.01
) -> str:
    return line(
        at,
        'side-1',
        'order_answered',
        order=order,
        code=code,
        seconds=seconds,
        via='leader',
    )


def one(*lines: str) -> Order:
    (order,) = read_play(list(lines)).orders
    return order


def test_an_order_takes_from_its_first_arrival_to_its_last_answer():
    order = one(
        taken(8.5, 'a'),
        answered(8.6, 'a', code=307),
        taken(9.5, 'a', 'core-2'),
        answered(9.7, 'a', seconds=0.2),
        answered(12.7, 'a'),
    )
    assert order.seconds == pytest.approx(4.2)
    assert order.gap == pytest.approx(3.0)
    assert order.arrivals == 2
    assert order.codes == {'307': 1, '200': 2}
    assert order.held == 0.2
    assert order.ways == {'leader': 3}


def test_without_arrivals_an_order_begins_with_its_first_answer():
    order = one(old(9.645, 'a'), old(12.682, 'a'))
    assert order.seconds == pytest.approx(3.037)
    assert order.arrivals == 0
    assert order.codes == {'5000': 2}


def test_an_answer_that_both_lines_tell_counts_once():
    order = one(taken(1.0, 'a'), old(1.1, 'a'), answered(1.2, 'a'))
    assert order.codes == {'200': 1}


def test_lines_of_several_places_are_put_in_the_order_of_their_times():
    order = one(answered(2.0, 'a'), taken(1.5, 'a'), answered(1.6, 'a'))
    assert order.first == 1.5
    assert order.answers == [1.6, 2.0]


def test_an_order_without_an_answer_is_kept_and_told():
    play = read_play([taken(1.0, 'a'), taken(2.0, 'b'), answered(2.1, 'b')])
    silent = play.orders[0]
    assert silent.seconds is None
    assert '1 without an answer' in summary('day', play)[0]
    assert any(row.startswith('a ') for row in table(play, 10))


def test_orders_of_before_the_requests_and_other_lines_are_left_out():
    found = read_play(
        [
            old(-10.7, 'a'),
            'worth 0.8 = whole day',
            '  3.1 core-1 not json',
            line(3.2, 'core-1', 'term_begun', term=2),
        ]
    )
    assert found.orders == []
    assert find_orders([]) == []
    assert 'no order' in summary('day', found)[0]


def test_calm_is_the_longest_stable_stretch_of_an_order():
    play = read_play(
        [
            old(5.0, 'across'),
            old(9.5, 'across'),
            old(16.0, 'before'),
            old(20.5, 'before'),
            old(4.5, 'within'),
            old(6.9, 'within'),
            old(10.0, 'clear'),
            old(14.0, 'clear'),
            old(3.0, 'around'),
            old(21.5, 'around'),
            UNSTABLE,
        ]
    )
    assert play.unstable == [Span(4.0, 7.0), Span(18.0, 21.0)]
    calm = {o.name: play.calm(o) for o in play.orders}
    assert calm == pytest.approx(
        {
            'across': 2.5,
            'before': 2.0,
            'within': 0.0,
            'clear': 4.0,
            'around': 11.0,
        }
    )


def test_the_longest_comes_first_and_the_verdict_is_told(tmp_path, capsys):
    path = tmp_path / 'play.log'
    rows = [old(1.0, 'fast'), old(2.0, 'slow'), old(5.5, 'slow'), SHORT]
    path.write_text('\n'.join(rows) + '\n')
    main(str(path), most=1)
    shown = capsys.readouterr().out
    assert 'longest 3.50 s (slow from 2.00)' in shown
    assert SHORT in shown
    assert 'fast' not in shown
