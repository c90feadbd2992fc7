"""Versions numbered by operators, and partial changes."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.partial_changes import publish_partial
from cyclamenlift.events.state import DOCUMENTS_KEPT
from cyclamenlift.events.state import EventStore
from cyclamenlift.models.document import document_from_bytes
from tests.events.builders import control_context
from tests.events.builders import document

ACCEPTED = ResultCode.CHANGE_ACCEPTED
INVALID = ResultCode.DOCUMENT_INVALID
CONFLICT = ResultCode.VERSION_CONFLICT
A = document('a')
B = document('b')


def publish(store: EventStore, change: str, base: int, data: bytes, chosen):
    return store.publish(change, base, data, '', 1, chosen)


def test_a_version_gets_the_number_chosen_by_its_operator():
    store = EventStore()
    assert publish(store, 'x', 0, A, 7).version == 7
    assert publish(store, 'y', 7, B, 12).version == 12
    assert store.document() == B
    assert store.document(7) == A


@pytest.mark.parametrize('chosen', [6, 7])
def test_a_number_not_above_the_current_version_is_invalid(chosen):
    store = EventStore()
    publish(store, 'x', 0, A, 7)
    assert publish(store, 'y', 7, B, chosen).code == INVALID
    assert store.version == 7


def test_of_two_with_one_number_and_base_the_first_wins():
    store = EventStore()
    publish(store, 'x', 0, A, 7)
    assert publish(store, 'y', 7, B, 9).code == ACCEPTED
    assert publish(store, 'z', 7, A, 9).code == CONFLICT
    assert store.document() == B


def test_the_current_document_is_accepted_again_with_any_base():
    store = EventStore()
    publish(store, 'x', 0, A, 7)
    again = publish(store, 'y', 3, A, 7)
    assert (again.code, again.version) == (ACCEPTED, 7)
    assert len(store.history()) == 1


def test_old_documents_are_dropped_whatever_their_numbers():
    store = EventStore()
    for number in range(1, DOCUMENTS_KEPT + 5):
        publish(store, f'c{number}', store.version, A, number * 3)
    assert len(store.documents) == DOCUMENTS_KEPT
    assert store.document(3) is None


def rename(current):
    return Success(current.model_copy(update={'event': 'renamed'}))


def begun():
    """Return a context whose leader has version 5 in force."""
    context = control_context()
    change = Change('first', 0, chosen_version=5)
    reports = []
    document_a = document_from_bytes(A)
    publish_document(context, document_a, change, reports.append)
    assert reports[0].code == ACCEPTED
    return context


def partial(context, change: Change, edit=rename):
    reports = []
    publish_partial(context, change, edit, reports.append)
    context.replica.finish_reads()
    (report,) = reports
    return report


def test_a_partial_change_is_applied_to_the_current_document():
    context = begun()
    report = partial(context, Change('p', 5, chosen_version=8))
    assert (report.code, report.version) == (ACCEPTED, 8)
    newest = document_from_bytes(context.store.document())
    assert newest.event == 'renamed'


def test_a_repeated_partial_change_gets_its_recorded_outcome():
    context = begun()
    partial(context, Change('p', 5, chosen_version=8))
    partial(context, Change('q', 8, chosen_version=9))
    report = partial(context, Change('p', 5, chosen_version=8))
    assert (report.code, report.version) == (ACCEPTED, 8)
    assert context.store.version == 9


def test_a_partial_change_on_another_version_is_a_conflict():
    context = begun()
    report = partial(context, Change('p', 4, chosen_version=8))
    assert report.code == CONFLICT
    assert context.store.version == 5


def test_a_failed_partial_change_has_no_effect():
    def refuse(_current):
        return Failure(Problem(INVALID, 'no such part'))

    context = begun()
    report = partial(context, Change('p', 5, chosen_version=8), refuse)
    assert report.code == INVALID
    assert context.store.version == 5


def test_an_instance_that_does_not_lead_changes_nothing():
    context = begun()
    context.replica.leader = 'b'
    report = partial(context, Change('p', 5, chosen_version=8))
    assert report.code == ResultCode.NOT_LEADER


# Guards against an order that stops the replica of the leader, and then that
# of the next leader it is forwarded to.
def test_an_edit_that_raises_is_rejected_without_stopping_the_replica():
    def fail(document):
        raise RecursionError('too deep')

    report = partial(begun(), Change('p', 5, chosen_version=9), fail)
    assert report.code == INVALID
