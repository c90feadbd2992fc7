"""Fingerprints that identify repeated attempts of a request."""

import pytest

from cyclamenlift.quarantine import RequestHash

PARTS = ('a.example', 'GET', '/p?x=1', 'farm-7')


def fingerprint(parts=PARTS, *body: bytes) -> bytes:
    made = RequestHash(*parts)
    for piece in body:
        made.add(piece)
    return made.digest()


def test_fingerprint_does_not_depend_on_body_chunks():
    assert fingerprint(PARTS, b'abc') == fingerprint(PARTS, b'a', b'bc')


@pytest.mark.parametrize('place', range(len(PARTS)))
def test_each_part_changes_the_fingerprint(place):
    other = list(PARTS)
    other[place] += 'x'
    assert fingerprint(tuple(other)) != fingerprint()


def test_the_body_changes_the_fingerprint():
    assert fingerprint(PARTS, b'a') != fingerprint(PARTS, b'b')


def test_text_moved_between_parts_changes_the_fingerprint():
    moved = ('a.exampleG', 'ET', *PARTS[2:])
    assert fingerprint(moved) != fingerprint()
