"""Order times from run logs, with and without ``order_taken`` lines."""

import json

import pytest

from bench.order_times import find_orders
from bench.order_times import main
from bench.order_times import Order
from bench.order_times import read_run
from bench.order_times import Span
from bench.order_times import summary
from bench.order_times import table

UNSTABLE_LINE = 'the core was not stable: 4.000 to 7.000, 18.000 to 21.000'
SHORT = 'short of the gate: a valid config (version 29) had no ack'


def line(at: float, instance: str, event: str, **fields: object) -> str:
    return f'{at:9.4f} {instance} ' + json.dumps({'event': event, **fields})


def taken(at: float, order: str, instance: str = 'side-1') -> str:
    return line(at, instance, 'order_taken', order=order, kind='patch')


def carried(at: float, order: str, instance: str = 'side-1') -> str:
    return line(at, instance, 'order_carried', order=order, via='core-1')


def answered(
    at: float, order: str, code: int = 5000, instance: str = 'side-1'
) -> str:
    return line(at, instance, 'change_answered', change=order, code=code)


def read_order(*lines: str) -> Order:
    (order,) = read_run(list(lines)).orders
    return order


def test_an_order_takes_from_its_first_arrival_to_its_last_answer():
    order = read_order(
        taken(8.5, 'a'),
        carried(8.59, 'a'),
        answered(8.6, 'a'),
        taken(9.5, 'a', 'core-2'),
        answered(9.7, 'a', instance='core-2'),
        taken(12.65, 'a'),
        answered(12.7, 'a', code=5001),
    )
    assert order.seconds == pytest.approx(4.2)
    assert order.gap == pytest.approx(3.0)
    assert order.held == pytest.approx(0.2)
    assert order.arrivals == 3
    assert order.codes == {'5000': 2, '5001': 1}
    assert order.ways == {'core-1': 1}
    assert order.void == 0


def test_without_arrivals_an_order_begins_with_its_first_answer():
    order = read_order(answered(9.645, 'a'), answered(12.682, 'a'))
    assert order.seconds == pytest.approx(3.037)
    assert order.arrivals == 0
    assert order.held == 0
    assert order.codes == {'5000': 2}


def test_an_answer_that_leaves_the_outcome_open_completes_no_order():
    order = read_order(
        answered(1.0, 'a'), answered(3.0, 'a', 5004), answered(4.0, 'a', 5005)
    )
    assert order.answers == [1.0]
    assert order.void == 2
    assert order.codes == {'5000': 1, '5004': 1, '5005': 1}


def test_late_answers_of_a_frozen_instance_are_void():
    order = read_order(
        taken(1.0, 'a', 'core-1'),
        taken(2.0, 'a', 'core-2'),
        answered(2.1, 'a', instance='core-2'),
        answered(14.0, 'a', instance='core-1'),
    )
    assert order.answers == [2.1]
    assert order.held == pytest.approx(0.1)
    assert order.void == 1


def test_lines_of_several_instances_are_sorted_by_time():
    order = read_order(answered(2.0, 'a'), taken(1.5, 'a'), answered(1.6, 'a'))
    assert order.first == 1.5
    assert order.answers == [1.6, 2.0]


def test_an_order_without_an_answer_is_listed():
    run = read_run([taken(1.0, 'a'), taken(2.0, 'b'), answered(2.1, 'b')])
    silent = run.orders[0]
    assert silent.seconds is None
    assert '1 without an answer' in summary('day', run)[0]
    assert any(row.startswith('a ') for row in table(run, 10))


def test_orders_before_the_load_and_other_lines_are_omitted():
    results = read_run(
        [
            answered(-10.7, 'a'),
            'worth 0.8 = whole day',
            '  3.1 core-1 not json',
            line(3.2, 'core-1', 'term_begun', term=2),
        ]
    )
    assert results.orders == []
    assert find_orders([]) == []
    assert 'no order' in summary('day', results)[0]


def test_calm_is_the_longest_stable_stretch_of_an_order():
    run = read_run(
        [
            answered(5.0, 'across'),
            answered(9.5, 'across'),
            answered(16.0, 'before'),
            answered(20.5, 'before'),
            answered(4.5, 'within'),
            answered(6.9, 'within'),
            answered(10.0, 'clear'),
            answered(14.0, 'clear'),
            answered(3.0, 'around'),
            answered(21.5, 'around'),
            UNSTABLE_LINE,
        ]
    )
    assert run.unstable == [Span(4.0, 7.0), Span(18.0, 21.0)]
    calm = {o.name: run.calm(o) for o in run.orders}
    assert calm == pytest.approx(
        {
            'across': 2.5,
            'before': 2.0,
            'within': 0.0,
            'clear': 4.0,
            'around': 11.0,
        }
    )


def test_the_longest_order_comes_first_and_the_verdict_is_printed(
    tmp_path, capsys
):
    path = tmp_path / 'play.log'
    rows = [
        answered(1.0, 'fast'),
        answered(2.0, 'slow'),
        answered(5.5, 'slow'),
        SHORT,
    ]
    path.write_text('\n'.join(rows) + '\n')
    main(str(path), most=1)
    shown = capsys.readouterr().out
    assert 'longest 3.50 s (slow from 2.00)' in shown
    assert SHORT in shown
    assert 'fast' not in shown
