"""A gate notifies entries of a slowdown of its target.

Other load on the machine makes a target several times slower for half a
second at a time, so entries must be notified within milliseconds.
"""

from cyclamenlift.gate.tasks import Gate
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from tests.runtime.builders import null_scheduler
from tests.runtime.builders import platform_like_dialect


def make_gate(dialect) -> Gate:
    return Gate(null_scheduler(), None, 'prices', 4, dialect)


def test_pace_notification_on_a_local_link_keeps_the_answer():
    """Regression: a local link has no Hello, which failed each call."""
    gate = make_gate(platform_like_dialect())
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    sent = []
    entry_end.subscribe(
        LoadNews, lambda link, message: sent.append(link.hello)
    )
    gate.pace_notifier.note_call(gate_end, 0.0)
    gate.reports.note_answer([('x-load', '1,0,4,700')], 0.0)
    assert sent == [None]


def test_only_changes_of_pace_are_sent():
    gate = make_gate(platform_like_dialect())
    entry_end, gate_end = local_link_pair(iter(range(1, 9)))
    sent = []
    entry_end.subscribe(
        LoadNews, lambda link, message: sent.append(message.load.pace_percent)
    )
    gate.pace_notifier.note_call(gate_end, 0.0)
    for pace in (100, 105, 700, 690, 100):
        gate.reports.note_answer([('x-load', f'1,0,4,{pace}')], 0.0)
    assert sent == [100, 700, 100]


def test_slow_gate_returns_a_call_that_limits_the_pace():
    gate = make_gate(platform_like_dialect())
    gate.reports.note_answer([('x-load', '1,0,4,700')], 0.0)
    wary = CallStart(call_id=1, most_pace_percent=200)
    content = CallStart(call_id=2, most_pace_percent=0)
    assert gate.admission_control.is_too_slow(wary, 0.0)
    assert not gate.admission_control.is_too_slow(content, 0.0)
