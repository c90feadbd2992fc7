"""Document diffs: small, exact, and rejected for the wrong base."""

import random

import pytest

from cyclamenlift.core.compression import compress
from cyclamenlift.events.changes import apply_change
from cyclamenlift.events.changes import digest_of_lines
from cyclamenlift.events.changes import make_change
from cyclamenlift.events.history import CHANGES_KEPT
from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.events.history import packed_size

LINES = tuple(b'%d' % number for number in range(50))


def edited(lines, rng):
    """Return lines with some removed, moved, duplicated and added."""
    result = [line for line in lines if rng.random() < 0.9]
    for _ in range(rng.randrange(4)):
        new = b'n%d' % rng.randrange(1000)
        result.insert(rng.randrange(len(result) + 1), new)
    if result and rng.random() < 0.5:
        result.append(rng.choice(result))
    if rng.random() < 0.2:
        rng.shuffle(result)
    return tuple(result)


def test_a_diff_reproduces_the_target_lines():
    rng = random.Random(1)
    lines = LINES
    for _ in range(300):
        newer = edited(lines, rng) or LINES
        assert apply_change(lines, make_change(lines, newer)) == newer
        lines = newer


def test_a_change_of_one_line_does_not_grow_with_the_document():
    rng = random.Random(2)
    large = tuple(rng.randbytes(99).hex().encode() for _ in range(4000))
    newer = (*large[:7], b'new', *large[8:])
    assert len(make_change(large, newer)) < 100


@pytest.mark.parametrize(
    'base',
    [(), LINES[:20], (*LINES[:-1], b'other'), LINES[::-1]],
    ids=['nothing', 'too short', 'one line differs', 'another order'],
)
def test_a_diff_of_another_base_is_rejected(base):
    with pytest.raises(ValueError):
        apply_change(base, make_change(LINES, (*LINES, b'new')))


@pytest.mark.parametrize(
    'parts',
    [
        [b'?'],
        [b''],
        [b'= 1'],
        [b'=0 0'],
        [b'=-1 2'],
        [b'=0 99999999999'],
        [b'=0 1 2'],
    ],
)
def test_a_malformed_diff_is_rejected(parts):
    packed = compress(b'\n'.join([digest_of_lines(LINES), *parts]))
    with pytest.raises(ValueError):
        apply_change(LINES, packed)


def history(*versions) -> DocumentHistory:
    result = DocumentHistory()
    for version in versions:
        result.put(version, (*LINES, b'v%d' % version))
    return result


@pytest.mark.parametrize(
    'known, steps',
    [
        (0, [(0, 9)]),
        (1, [(0, 9)]),
        (2, [(2, 5), (5, 9)]),
        (5, [(5, 9)]),
        (9, []),
        (12, []),
    ],
)
def test_history_returns_missing_changes_or_the_full_document(known, steps):
    changes = history(2, 5, 9).since(known)
    assert [(c.base_version, c.version) for c in changes] == steps


def test_history_is_bounded_by_number_and_bytes():
    many = history(*range(1, 3 * CHANGES_KEPT))
    assert len(many.changes) == CHANGES_KEPT
    rng = random.Random(3)
    large = DocumentHistory()
    for version in range(1, 9):
        large.put(version, (rng.randbytes(20_000).hex().encode(),))
    assert packed_size(list(large.changes)) <= 64 * 1024
