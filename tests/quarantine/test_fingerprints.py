"""What makes two attempts the same request."""

import pytest

from cyclamenlift.quarantine import RequestHash

PARTS = ('a.example', 'GET', '/p?x=1', 'farm-7')


def fingerprint(parts=PARTS, *body: bytes) -> bytes:
    made = RequestHash(*parts)
    for piece in body:
        made.add(piece)
    return made.digest()


def test_the_same_request_has_the_same_fingerprint_however_it_is_cut():
    assert fingerprint(PARTS, b'abc') == fingerprint(PARTS, b'a', b'bc')


@pytest.mark.parametrize('place', range(len(PARTS)))
def test_each_part_tells_requests_apart(place):
    other = list(PARTS)
    other[place] += 'x'
    assert fingerprint(tuple(other)) != fingerprint()


def test_the_body_tells_requests_apart():
    assert fingerprint(PARTS, b'a') != fingerprint(PARTS, b'b')


def test_text_that_moves_from_one_part_to_the_next_is_another_request():
    moved = ('a.exampleG', 'ET', *PARTS[2:])
    assert fingerprint(moved) != fingerprint()
