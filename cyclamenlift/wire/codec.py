"""Frames to bytes and back.

A frame is four bytes of big-endian length and one thrift ``Frame`` union in
the binary protocol. The C accelerator does both directions; without it a
call would cost several times as much, so its absence is an error at start.
"""

import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from cyclamenlift.wire.gen.protocol import ttypes

try:
    from thrift.protocol import fastbinary
except ImportError:  # pragma: no cover - the check reports it
    fastbinary = None

LENGTH = struct.Struct('!I')
MAX_FRAME = 4 * 1024 * 1024
# A union of one struct field is the field's type and number, the struct,
# and a stop byte.
FIELD_HEAD = struct.Struct('!bh')
STOP = bytes([TType.STOP])
FIELDS = [spec for spec in ttypes.Frame.thrift_spec if spec is not None]
FIELD_OF = {spec[3][0]: spec[2] for spec in FIELDS}
HEAD_OF = {
    spec[3][0]: FIELD_HEAD.pack(TType.STRUCT, spec[0]) for spec in FIELDS
}
KIND_OF = {HEAD_OF[spec[3][0]]: spec[3][0] for spec in FIELDS}


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
    """Wrap one message in its frame, with the length in front.

    These are the bytes of ``Frame(<field>=message)``. To make, write and
    read an object with a field for each kind of message costs more than the
    message itself.
    """
    data = HEAD_OF[type(message)] + encode_struct(message) + STOP
    return LENGTH.pack(len(data)) + data


def read_frame(data: bytes, protocol: TBinaryProtocolAccelerated):
    """Return (field name, message) of the one message in a frame.

    Raises FrameError when there is none or anything follows it.
    """
    kind = KIND_OF.get(data[: FIELD_HEAD.size])
    if kind is None:
        raise FrameError('no known message in a frame')
    message = read_struct(kind, data[FIELD_HEAD.size :], protocol)
    rest = protocol.trans.cstringio_buf.read()
    if rest != STOP:
        raise FrameError(f'{len(rest)} bytes after the message of a frame')
    return FIELD_OF[kind], message


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
            messages.append(read_frame(body, self.protocol))
            offset = end
        self.buffer = buffer[offset:]
        return messages
