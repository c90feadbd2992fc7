"""Messages, framing and connections between processes of the system."""

from cyclamenlift.wire.codec import accelerator_present
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import encode_packet
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.codec import FrameReader
from cyclamenlift.wire.gen.protocol import ttypes
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

__all__ = [
    'FrameError',
    'FrameReader',
    'Link',
    'PeerNetwork',
    'accelerator_present',
    'decode_packet',
    'decode_struct',
    'encode_frame',
    'encode_packet',
    'encode_struct',
    'ttypes',
]
