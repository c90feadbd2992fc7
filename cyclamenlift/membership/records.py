"""Precedence, validation, size and fingerprint of member records.

A record is a thrift ``MemberRecord`` and is never modified in place: use
``revise``. Records of one instance are ordered by incarnation, then by the
rank of their state. This order is total, so members that have seen the same
records agree whatever the order of arrival.
"""

import copy

import xxhash

from cyclamenlift.core.streams import Address
from cyclamenlift.wire.codec import encode_packet
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

MAX_TEXT = 64
MAX_SLOTS = 1_000_000
MAX_VERSION = 2**53
# A forged incarnation near the integer limit could never be refuted.
MAX_INCARNATION = 2**53
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
GONE_STATES = (MemberState.DEAD, MemberState.LEFT)
STATES = tuple(MemberState)
TARGET_STATES = tuple(TargetState)
ROLES = tuple(MemberRole)


def precedence(record: MemberRecord) -> tuple[int, int]:
    """Return the sort key that decides which of two records wins.

    >>> old = MemberRecord(incarnation=4, state=MemberState.DEAD)
    >>> new = MemberRecord(incarnation=5, state=MemberState.ALIVE)
    >>> precedence(new) > precedence(old)
    True
    """
    return record.incarnation, int(record.state)


def supersedes(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether ``record`` replaces the known one of its instance."""
    return known is None or precedence(record) > precedence(known)


def is_live(record: MemberRecord) -> bool:
    """Return whether the record is of a live member (ALIVE or SUSPECT)."""
    return record.state in LIVE_STATES


def revise(record: MemberRecord, **changes) -> MemberRecord:
    """Return a copy of ``record`` with some fields changed."""
    result = copy.copy(record)
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def is_number(value, limit: int) -> bool:
    return isinstance(value, int) and 0 <= value <= limit


def is_text(value, shortest: int = 0) -> bool:
    return isinstance(value, str) and shortest <= len(value) <= MAX_TEXT


def is_address(value) -> bool:
    """Return whether a received text is a usable ``host:port``."""
    if not is_text(value, 1):
        return False
    try:
        return Address.parse(value).port > 0
    except ValueError:
        return False


def is_valid_record(record: MemberRecord) -> bool:
    """Return whether a received record is valid.

    The decoder leaves absent fields and unknown enum values as None.
    """
    return (
        is_text(record.instance, 1)
        and is_number(record.incarnation, MAX_INCARNATION)
        and record.state in STATES
        and is_text(record.data_centre)
        and is_address(record.gossip_address)
        and is_text(record.peer_address)
        and is_text(record.service_name)
        and is_number(record.slots, MAX_SLOTS)
        and record.target_state in TARGET_STATES
        and is_number(record.config_version, MAX_VERSION)
        and is_text(record.target_name)
        and record.role in (None, *ROLES)
    )


def encoded_size(record: MemberRecord) -> int:
    """Return the bytes that a record takes in a packet."""
    return len(encode_packet(record))


def fingerprint(record: MemberRecord) -> int:
    """Return a 63-bit hash that represents a live record in digests.

    Suspicion and the configuration version are excluded: both change often and
    are disseminated in other ways.
    """
    text = f'{record.instance}\0{record.incarnation}'
    return xxhash.xxh64_intdigest(text.encode()) >> 1


def same_announcement(one: MemberRecord, other: MemberRecord) -> bool:
    """Return whether two records differ at most in state and version."""
    return revise(one, state=other.state, config_version=0) == revise(
        other, config_version=0
    )
