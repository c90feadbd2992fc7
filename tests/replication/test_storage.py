"""The data folder: crashes, damage, foreign folders and failing disks."""

import errno
import os
import shutil

import pytest
from returns.result import Failure

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.replication.effects import PersistEntries
from cyclamenlift.replication.effects import PersistSnapshot
from cyclamenlift.replication.effects import PersistTerm
from cyclamenlift.replication.folder import METADATA_NAME
from cyclamenlift.replication.folder import SNAPSHOT_NAME
from cyclamenlift.replication.segments import Segments
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.replication.storage import open_storage
from cyclamenlift.replication.voters import Configuration
from tests.replication.builders import make_entries

VOTERS = Configuration(1, {'a': 'a-1', 'b': 'b-1', 'c': 'c-1'})


def write(folder, *writes):
    """Open a folder, sync each write separately, and close it."""
    storage = open_storage(folder, 'a').unwrap()
    for effect in writes:
        storage.write([effect])
    storage.close()
    return storage


def recover(folder):
    storage = open_storage(folder, 'a').unwrap()
    storage.close()
    return storage.recovered


def entries(*terms, first=1):
    return PersistEntries(1, tuple(make_entries(*terms, first=first)))


def snapshot(index, term, keep_log):
    found = Snapshot(index, term, 5, VOTERS, b'state')
    return PersistSnapshot(1, found, keep_log)


def newest_log(folder):
    return sorted(folder.glob('log-*'))[-1]


def terms(recovered):
    return [(e.index, e.term) for e in recovered.entries]


def test_term_vote_and_entries_are_recovered(tmp_path):
    write(tmp_path, PersistTerm(1, 3, 'b'), entries(1, 1, 3))
    found = recover(tmp_path)
    assert (found.term, found.voted_for) == (3, 'b')
    assert found.entries == tuple(make_entries(1, 1, 3))


def test_queued_entries_share_one_sync(tmp_path, monkeypatch):
    storage = open_storage(tmp_path, 'a').unwrap()
    storage.write([entries(1)])
    calls = []
    monkeypatch.setattr(os, 'fdatasync', calls.append)
    storage.write([entries(1, first=i) for i in range(2, 102)])
    storage.close()
    assert len(calls) == 1
    assert len(recover(tmp_path).entries) == 101


LOGS = {
    'cut_by_a_later_leader': (
        [entries(1, 1, 1), entries(2, first=2)],
        [(1, 1), (2, 2)],
    ),
    'own_snapshot': (
        [entries(1, 1, 1), snapshot(2, 1, True), entries(1, first=4)],
        [(3, 1), (4, 1)],
    ),
    'installed_snapshot': (
        [entries(1, 1, 1, 1), snapshot(3, 2, False), entries(2, first=4)],
        [(4, 2)],
    ),
    'snapshot_beyond_the_log': (
        [entries(1), snapshot(9, 2, False), entries(2, first=10)],
        [(10, 2)],
    ),
}


@pytest.mark.parametrize('case', LOGS)
def test_log_and_snapshot_are_recovered(tmp_path, case):
    writes, expected = LOGS[case]
    write(tmp_path, *writes)
    assert terms(recover(tmp_path)) == expected


def test_crash_before_a_replaced_log_is_removed(tmp_path):
    write(tmp_path, entries(1, 1, 1, 1))
    stale = newest_log(tmp_path)
    shutil.copy(stale, tmp_path / 'kept')
    write(tmp_path, snapshot(3, 2, False))
    shutil.copy(tmp_path / 'kept', stale)
    assert terms(recover(tmp_path)) == []
    write(tmp_path, entries(2, first=4))
    assert terms(recover(tmp_path)) == [(4, 2)]


# A snapshot file and its folder, then the metadata and their folder.
INSTALL_SYNCS = 4


# Guards against an empty disk whose repair waits for syncs that nothing needs:
# on a slow disk each takes a tenth of a second and more.
def test_a_snapshot_on_an_empty_disk_takes_few_syncs(tmp_path, monkeypatch):
    storage = open_storage(tmp_path, 'a').unwrap()
    storage.write([PersistTerm(1, 2, '')])
    calls = []
    monkeypatch.setattr(os, 'fsync', calls.append)
    monkeypatch.setattr(os, 'fdatasync', calls.append)
    storage.write([snapshot(9, 2, False)])
    storage.close()
    assert len(calls) == INSTALL_SYNCS
    assert recover(tmp_path).snapshot.index == 9


# Guards against a log that a crash makes unreadable: after a power failure in
# a snapshot's sync the folder may hold any of the two new names.
@pytest.mark.parametrize('kept', [(), ('snapshot',), ('log',)])
def test_crash_in_the_sync_of_a_snapshot(tmp_path, kept):
    write(tmp_path, snapshot(2, 1, True), entries(1, first=3))
    before = {p.name: p.read_bytes() for p in tmp_path.iterdir()}
    write(tmp_path, snapshot(3, 1, True))
    after = {p.name: p.read_bytes() for p in tmp_path.iterdir()}
    for path in tmp_path.iterdir():
        path.unlink()
    new = {n: d for n, d in after.items() if n.startswith(kept or '-')}
    for name, data in {**before, **new}.items():
        (tmp_path / name).write_bytes(data)
    found = recover(tmp_path)
    assert found.snapshot.index == (3 if 'snapshot' in kept else 2)
    assert found.snapshot.index + len(found.entries) == 3
    write(tmp_path, entries(2, first=4))
    assert recover(tmp_path).entries[-1].index == 4


def test_old_segments_are_removed_after_a_snapshot(tmp_path):
    write(tmp_path, entries(1, 1, 1), snapshot(3, 1, True))
    assert len(list(tmp_path.glob('log-*'))) == 1


@pytest.mark.parametrize('lost', [1, 5, 12, 13, 40])
def test_torn_tail_is_truncated_and_the_log_continues(tmp_path, lost):
    write(tmp_path, entries(1, 1), entries(1, first=3))
    log = newest_log(tmp_path)
    os.truncate(log, log.stat().st_size - lost)
    assert terms(recover(tmp_path)) == [(1, 1), (2, 1)]
    write(tmp_path, entries(2, first=3))
    assert terms(recover(tmp_path)) == [(1, 1), (2, 1), (3, 2)]


def flip(offset):
    def damage(folder):
        log = newest_log(folder)
        data = bytearray(log.read_bytes())
        data[offset] ^= 0xFF
        log.write_bytes(data)

    return damage


def cut_file(name):
    def damage(folder):
        os.truncate(folder / name, 20)

    return damage


def remove(name):
    def damage(folder):
        next(folder.glob(name)).unlink()

    return damage


DAMAGE = {
    'magic_in_the_middle': flip(0),
    'length_in_the_middle': flip(5),
    'entry_in_the_middle': flip(30),
    'metadata_cut': cut_file(METADATA_NAME),
    'metadata_gone': remove(METADATA_NAME),
    'snapshot_cut': cut_file(SNAPSHOT_NAME),
    'snapshot_gone': remove(SNAPSHOT_NAME),
    'log_gone': remove('log-*'),
}


@pytest.mark.parametrize('case', DAMAGE)
def test_damage_is_refused_with_a_repair_hint(tmp_path, case):
    write(tmp_path, entries(1), snapshot(1, 1, True))
    write(tmp_path, entries(1, first=2), entries(1, first=3))
    DAMAGE[case](tmp_path)
    problem = open_storage(tmp_path, 'a').failure()
    assert problem.code is ResultCode.STORAGE_DAMAGED
    assert 'replace the storage' in problem.advice()


def test_every_changed_byte_of_a_record_is_detected(tmp_path):
    write(tmp_path, entries(1))
    size = newest_log(tmp_path).stat().st_size
    write(tmp_path, entries(1, first=2))
    for offset in range(size):
        flip(offset)(tmp_path)
        problem = open_storage(tmp_path, 'a').failure()
        assert problem.code is ResultCode.STORAGE_DAMAGED, offset
        flip(offset)(tmp_path)
    assert terms(recover(tmp_path)) == [(1, 1), (2, 1)]


def test_folder_is_for_one_process_of_one_instance(tmp_path):
    first = open_storage(tmp_path, 'a').unwrap()
    in_use = open_storage(tmp_path, 'a').failure()
    first.close()
    foreign = open_storage(tmp_path, 'b').failure()
    assert in_use.code is ResultCode.STORAGE_IN_USE
    assert foreign.code is ResultCode.STORAGE_FOREIGN
    assert recover(tmp_path).storage_id == first.recovered.storage_id


def test_every_empty_folder_gets_a_storage_id_of_its_own(tmp_path):
    ids = {recover(tmp_path / name).storage_id for name in 'xy'}
    assert len(ids) == 2


def test_folder_that_cannot_be_created_is_a_failure(tmp_path):
    (tmp_path / 'file').write_text('')
    opened = open_storage(tmp_path / 'file' / 'data', 'a')
    assert isinstance(opened, Failure)
    assert opened.failure().code is ResultCode.STORAGE_FAILED


def test_failed_sync_is_raised(tmp_path, monkeypatch):
    storage = open_storage(tmp_path, 'a').unwrap()

    def fail(_descriptor):
        raise OSError(errno.EIO, 'broken disk')

    monkeypatch.setattr(os, 'fdatasync', fail)
    with pytest.raises(OSError):
        storage.write([entries(1)])
    storage.close()


def test_failed_truncation_of_a_torn_tail_is_a_storage_failure(
    tmp_path, monkeypatch
):
    """Guards against an exception instead of a failure with its cause."""
    (tmp_path / 'log-000000000001').write_bytes(b'torn')

    def refuse(*_arguments):
        raise OSError(errno.ENOSPC, 'full')

    monkeypatch.setattr(Segments, 'truncate_torn_tail', refuse)
    found = Segments(tmp_path).read(0)
    assert found.failure().code is ResultCode.STORAGE_FAILED
