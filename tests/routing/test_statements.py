"""What an entry remembers of targets while their daemons restart.

Guards against a limit, or a departure, that an entry passed on and forgets
with the member that told it.
"""

from cyclamenlift.calls.attempt import Try
from cyclamenlift.routing.statements import MAX_STATEMENTS
from cyclamenlift.routing.statements import TargetStatements
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetStatement
from tests.calls.test_refusal_storm import RefusingGates
from tests.routing.builders import build_figures
from tests.routing.builders import build_record
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE

LIMITED = TargetStatement('i-1', False, 2.1)
NOW = 10.0


def told_state():
    """Return a state whose first target has declared a limit."""
    state = build_state(2)
    instance = build_record(0).instance
    figures = build_figures(statement=LIMITED)
    state.note_answer_load(SERVICE, instance, figures, NOW)
    assert state.statements.find(instance) == LIMITED
    return state, instance


def test_figures_of_a_gate_that_was_not_told_do_not_end_a_statement():
    # Guards against a new gate whose first refusal makes all entries forget.
    state, instance = told_state()
    state.note_load(SERVICE, instance, build_figures(), NOW)
    assert state.statements.find(instance) == LIMITED


def test_an_answer_of_the_target_ends_a_statement():
    # Guards against a limit that is remembered for ever.
    state, instance = told_state()
    state.note_answer_load(SERVICE, instance, build_figures(), NOW)
    assert state.statements.find(instance) is None


def test_a_statement_outlives_the_member_that_told_it():
    # Guards against entries that forget while the daemon is down.
    state, instance = told_state()
    state.note_member(build_record(0, state=MemberState.DEAD), NOW)
    state.note_member(build_record(0), NOW + 1.0)
    assert state.statements.find(instance) == LIMITED


def test_the_number_of_statements_is_bounded():
    # Guards against memory that grows with each instance that comes and goes.
    statements = TargetStatements()
    for number in range(MAX_STATEMENTS + 10):
        statements.note(f'instance-{number}', LIMITED)
    assert len(statements.by_instance) == MAX_STATEMENTS
    assert statements.find('instance-0') is None


def test_a_call_takes_along_what_its_entry_was_told(monkeypatch):
    # Guards against a new gate that learns nothing from its entries.
    sent = []
    monkeypatch.setattr(
        Try, 'send', lambda _try, start, _body: sent.append(start) or True
    )
    gates = RefusingGates()
    gates.tries.start_message = lambda _now: CallStart()
    gates.tries.calls.routing.statements.note('t0', LIMITED)
    gates.run()
    assert [start.statement for start in sent[:2]] == [LIMITED, None]
