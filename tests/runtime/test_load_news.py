"""A gate notifies entries of a slowdown of its target.

Other load on the machine makes a target several times slower for half a
second at a time, so entries must be notified within milliseconds.
"""

from cyclamenlift.gate.tasks import Gate
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import quiet_scheduler


def make_gate(dialect) -> Gate:
    return Gate(quiet_scheduler(), None, 'prices', 4, dialect)


def test_news_on_a_local_link_do_not_break_the_answer_that_brought_them():
    """Regression: a local link has no Hello, which failed each call."""
    gate = make_gate(platform_like_dialect())
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    told = []
    entry_end.subscribe(LoadNews, lambda link, news: told.append(link.hello))
    gate.news.note_call(gate_end, 0.0)
    gate.note_answer_head([('x-load', '1,0,4,700')])
    assert told == [None]


def test_only_a_change_of_pace_is_told():
    gate = make_gate(platform_like_dialect())
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    told = []
    entry_end.subscribe(
        LoadNews, lambda link, news: told.append(news.load.pace_percent)
    )
    gate.news.note_call(gate_end, 0.0)
    for pace in (100, 105, 700, 690, 100):
        gate.note_answer_head([('x-load', f'1,0,4,{pace}')])
    assert told == [100, 700, 100]


def test_a_slow_gate_sends_a_call_back_that_may_go_elsewhere():
    gate = make_gate(platform_like_dialect())
    gate.note_answer_head([('x-load', '1,0,4,700')])
    wary = CallStart(call_id=1, most_pace_percent=200)
    content = CallStart(call_id=2, most_pace_percent=0)
    assert gate.entrance.is_too_slow(wary, 0.0)
    assert not gate.entrance.is_too_slow(content, 0.0)
