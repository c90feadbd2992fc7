"""Frames to bytes and back.

A frame is four bytes of big-endian length and one thrift ``Frame`` union in
the binary protocol. The C accelerator does both directions; without it a
call would cost several times as much, so its absence is an error at start.
"""

import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from cyclamenlift.wire.gen.protocol import ttypes

try:
    from thrift.protocol import fastbinary
except ImportError:  # pragma: no cover - the check reports it
    fastbinary = None

LENGTH = struct.Struct('!I')
MAX_FRAME = 4 * 1024 * 1024
FIELD_OF = {
    spec[3][0]: spec[2]
    for spec in ttypes.Frame.thrift_spec
    if spec is not None
}


class FrameError(Exception):
    """The bytes of a peer are no frame; its connection must be closed."""


def accelerator_present() -> bool:
    """Tell whether thrift's C module is there."""
    return fastbinary is not None


def encode_struct(message) -> bytes:
    """Return a thrift struct in the binary protocol, without a length.

    This calls the accelerator as the generated ``write`` does, without the
    protocol object that ``write`` needs around it.
    """
    kind = type(message)
    return fastbinary.encode_binary(message, [kind, kind.thrift_spec])


def decode_struct(kind, data: bytes):
    """Return a struct of ``kind``; raise FrameError on bad bytes."""
    return read_struct(kind, data, new_protocol())


def new_protocol() -> TBinaryProtocolAccelerated:
    """Return a protocol object; a reader of many frames keeps one."""
    return TBinaryProtocolAccelerated(TMemoryBuffer(b''))


def read_struct(kind, data: bytes, protocol: TBinaryProtocolAccelerated):
    """Read a struct of ``kind`` with a protocol object that is kept."""
    message = kind()
    protocol.trans = TMemoryBuffer(data)
    try:
        message.read(protocol)
    except (TException, EOFError, ValueError, TypeError, OverflowError) as e:
        raise FrameError(f'{kind.__name__}: {e}') from e
    return message


def encode_packet(packet) -> bytes:
    """Return a UDP packet in the compact protocol."""
    transport = TMemoryBuffer()
    packet.write(TCompactProtocolAccelerated(transport))
    return transport.getvalue()


def decode_packet(kind, data: bytes):
    """Return a struct from a UDP packet; raise FrameError on bad bytes."""
    packet = kind()
    try:
        packet.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
    except (TException, EOFError, ValueError, TypeError, OverflowError) as e:
        raise FrameError(f'{kind.__name__}: {e}') from e
    return packet


def encode_frame(message) -> bytes:
    """Wrap one message in its frame, with the length in front."""
    frame = ttypes.Frame()
    setattr(frame, FIELD_OF[type(message)], message)
    data = encode_struct(frame)
    return LENGTH.pack(len(data)) + data


def unwrap(frame: ttypes.Frame):
    """Return (field name, message) of the one field that is set."""
    found = [item for item in vars(frame).items() if item[1] is not None]
    if len(found) != 1:
        raise FrameError(f'{len(found)} messages in one frame')
    return found[0]


class FrameReader:
    """Cuts a stream of bytes into messages."""

    __slots__ = ('buffer', 'limit', 'protocol')

    def __init__(self, limit: int = MAX_FRAME):
        self.buffer = b''
        self.limit = limit
        self.protocol = new_protocol()

    def feed(self, data: bytes) -> list:
        """Return the (field name, message) pairs that are now whole.

        Raises FrameError when a length is over the limit or a frame is
        malformed: nothing after it can be trusted.
        """
        buffer = self.buffer + data if self.buffer else data
        offset = 0
        messages = []
        while len(buffer) - offset >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer, offset)
            if size > self.limit:
                raise FrameError(f'a frame of {size} bytes is over the limit')
            end = offset + LENGTH.size + size
            if len(buffer) < end:
                break
            body = buffer[offset + LENGTH.size : end]
            frame = read_struct(ttypes.Frame, body, self.protocol)
            messages.append(unwrap(frame))
            offset = end
        self.buffer = buffer[offset:]
        return messages
