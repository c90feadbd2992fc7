"""Encoding and decoding of frames, and invalid frames."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenlift.wire.codec import encode_compact
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import FIELD_BY_TYPE
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.codec import FrameReader
from cyclamenlift.wire.codec import LENGTH
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import Frame

MESSAGES = [Cancel(7), Credit(7, 100), Cancel(2**40)]


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.integers(1, 60), max_size=8))
def test_messages_do_not_depend_on_splits(cuts):
    data = b''.join(encode_frame(m) for m in MESSAGES)
    reader = FrameReader()
    found = []
    start = 0
    for cut in sorted(set(cuts)) + [len(data)]:
        found += reader.feed(data[start:cut])
        start = max(start, cut)
    assert [message for _name, message in found] == MESSAGES


@pytest.mark.parametrize(
    'data',
    [
        LENGTH.pack(2**31),
        LENGTH.pack(5) + b'hello',
        LENGTH.pack(1) + b'\0',
        LENGTH.pack(8) + b'\x0c\0\1\x0f\0\1\x0c\xff',
    ],
    ids=['over the limit', 'no thrift', 'empty union', 'cut struct'],
)
def test_invalid_frames_are_rejected(data):
    with pytest.raises(FrameError):
        FrameReader().feed(data)


def test_two_messages_in_one_frame_are_rejected():
    frame = Frame(cancel=Cancel(1), credit=Credit(1, 1))
    body = encode_compact(frame)
    with pytest.raises(FrameError):
        FrameReader().feed(LENGTH.pack(len(body)) + body)


@pytest.mark.parametrize('kind', FIELD_BY_TYPE, ids=lambda kind: kind.__name__)
def test_frame_equals_the_encoded_union(kind):
    message = kind()
    union = encode_compact(Frame(**{FIELD_BY_TYPE[kind]: message}))
    data = encode_frame(message)
    assert data == LENGTH.pack(len(union)) + union
    assert FrameReader().feed(data) == [(FIELD_BY_TYPE[kind], message)]


@pytest.mark.parametrize(
    'body',
    [
        encode_compact(Frame(cancel=Cancel(1)))[:-1],
        encode_compact(Frame(cancel=Cancel(1))) + b'\0',
        b'\x0c\x7f\xff\0\0',
        b'\x0b' + encode_compact(Frame(cancel=Cancel(1)))[1:],
    ],
    ids=['no stop', 'bytes after the stop', 'unknown field', 'no struct'],
)
def test_incomplete_or_trailing_message_is_rejected(body):
    with pytest.raises(FrameError):
        FrameReader().feed(LENGTH.pack(len(body)) + body)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=64))
def test_random_bytes_raise_only_frame_errors(data):
    try:
        FrameReader().feed(LENGTH.pack(len(data)) + data)
    except FrameError:
        pass
