"""The document store: compare-and-set, change ids, limits."""

import dataclasses

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.compression import compress
from cyclamenlift.events import state
from cyclamenlift.events.state import CHANGE_IDS_KEPT
from cyclamenlift.events.state import DOCUMENTS_KEPT
from cyclamenlift.events.state import EventStore
from cyclamenlift.events.state import SNAPSHOT
from cyclamenlift.events.state import StoredDocument
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from tests.events.builders import document

ACCEPTED = ResultCode.CHANGE_ACCEPTED
CONFLICT = ResultCode.VERSION_CONFLICT
REUSED = ResultCode.CHANGE_ID_REUSED
INVALID = ResultCode.DOCUMENT_INVALID
A = document('a')
B = document('b')

# Each step: change id, base, document; then the expected code, created version
# and current version.
CASES = {
    'of two changes with the same base the first wins': [
        ('x', 0, A, ACCEPTED, 1, 1),
        ('y', 0, B, CONFLICT, 0, 1),
        ('z', 1, B, ACCEPTED, 2, 2),
    ],
    'a repeated change gets its recorded outcome': [
        ('x', 0, A, ACCEPTED, 1, 1),
        ('y', 1, B, ACCEPTED, 2, 2),
        ('x', 0, A, ACCEPTED, 1, 1),
        ('x', 2, A, ACCEPTED, 1, 1),
    ],
    'a repeated conflict stays a conflict': [
        ('x', 1, A, CONFLICT, 0, 0),
        ('y', 0, A, ACCEPTED, 1, 1),
        ('x', 1, A, CONFLICT, 0, 0),
    ],
    'a change id is bound to one document': [
        ('x', 0, A, ACCEPTED, 1, 1),
        ('x', 1, B, REUSED, 0, 1),
        ('x', 0, A, ACCEPTED, 1, 1),
    ],
    'an invalid document has no effect': [
        ('x', 0, b'{}', INVALID, 0, 0),
        ('y', 0, b'\xff', INVALID, 0, 0),
        ('z', 0, b' ' * (MAX_CANONICAL_BYTES + 1), INVALID, 0, 0),
        ('w', 0, A, ACCEPTED, 1, 1),
    ],
    'a base ahead of the store is a conflict': [
        ('x', 5, A, CONFLICT, 0, 0),
        ('y', -1, A, CONFLICT, 0, 0),
    ],
    'a change needs an id': [
        ('', 0, A, INVALID, 0, 0),
        ('x' * 129, 0, A, INVALID, 0, 0),
    ],
}


def restarted(store: EventStore) -> EventStore:
    data = store.encode()
    fresh = EventStore()
    fresh.restore(SNAPSHOT.validate_json(data))
    assert fresh.encode() == data
    return fresh


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('steps', CASES.values(), ids=CASES)
def test_publish(steps, restarts):
    store = EventStore()
    for change_id, base, data, code, version, current in steps:
        if restarts:
            store = restarted(store)
        outcome = store.publish(change_id, base, data, 'eden', 7)
        found = (outcome.code, outcome.version, outcome.current_version)
        assert found == (code, version, current)
        assert type(outcome).from_json(outcome.to_json()) == outcome


def test_the_recorded_outcome_is_kept_for_the_stated_number_of_changes():
    store = EventStore()
    for number in range(CHANGE_IDS_KEPT):
        store.publish(f'c{number}', number, A, '', number)
    store = restarted(store)
    assert store.publish('c0', 0, A, '', 9).version == 1
    store.publish('one more', CHANGE_IDS_KEPT, A, '', 9)
    assert store.publish('c0', 0, A, '', 9).code == CONFLICT
    assert len(store.changes) == CHANGE_IDS_KEPT


def test_history_and_old_documents_are_bounded():
    store = EventStore()
    for number in range(DOCUMENTS_KEPT + 5):
        store.publish(f'c{number}', number, A, 'eden', number)
    store = restarted(store)
    newest = store.history(2)
    assert [record.version for record in newest] == [69, 68]
    assert newest[0].operator_name == 'eden'
    assert store.document(6) == A
    assert store.document(5) is None
    assert store.document() == store.document(69)
    assert store.rules.version == 69


def test_an_empty_store_has_no_document():
    store = restarted(EventStore())
    assert store.document() is None
    assert store.rules is None
    assert store.ends_unix_ms() == 0
    assert store.history() == []


def test_an_uncompressed_snapshot_of_an_earlier_release_is_restored():
    store = EventStore()
    store.publish('x', 0, A, 'eden', 1)
    earlier = dataclasses.replace(
        SNAPSHOT.validate_json(store.encode()),
        documents=[StoredDocument(1, A)],
    )
    restored = EventStore()
    restored.restore(SNAPSHOT.validate_json(SNAPSHOT.dump_json(earlier)))
    assert restored.document() == A
    assert restored.packed_document() == store.packed_document()
    assert len(restored.packed_document()) < len(A)


# Guards against large documents whose old versions fill the memory and each
# snapshot, and against the current one that is evicted with them.
def test_large_documents_are_kept_up_to_a_size(monkeypatch):
    monkeypatch.setattr(state, 'DOCUMENT_BYTES_KEPT', 3 * len(compress(A)))
    store = EventStore()
    for number in range(6):
        store.publish(f'c{number}', number, A, 'eden', number)
    assert sorted(store.documents) == [4, 5, 6]
    assert sorted(restarted(store).documents) == [4, 5, 6]
    monkeypatch.setattr(state, 'DOCUMENT_BYTES_KEPT', 1)
    store.publish('c6', 6, A, 'eden', 6)
    assert list(store.documents) == [7]
    assert store.document() == A
