"""The encoding of a pull request and the selection of its answer.

The text of a pull has one of three forms: empty (the sender knows nothing),
one short digest for each bucket (steady state: find the few that differ), or
the short fingerprints of every live record of some buckets (during a table
transfer: only missing records are returned). An example of the last form is
``7:01ab9f3c,8:`` for two records of bucket 7 and none of bucket 8.
"""

import random

from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.membership.records import fingerprint
from cyclamenlift.membership.records import is_live
from cyclamenlift.membership.table import BUCKETS
from cyclamenlift.membership.table import Entry
from cyclamenlift.membership.table import MemberTable

# Hexadecimal digits of a short hash, and the bits that they represent.
DIGITS = 4
MASK = 0xFFFF
DIGESTS_SIZE = BUCKETS * DIGITS
MAX_FINGERPRINTS_SIZE = 240


def short_hash(value: int) -> str:
    """Return the low bits of a fingerprint or digest as hexadecimal text.

    >>> short_hash(0x1234ABCD)
    'abcd'
    """
    return f'{value & MASK:0{DIGITS}x}'


def split_hashes(text: str) -> list[str]:
    """Split a text into its short hashes."""
    return [text[i : i + DIGITS] for i in range(0, len(text), DIGITS)]


def encode_digests(table: MemberTable) -> str:
    """Return the short digests of all buckets."""
    return ''.join(short_hash(digest) for digest in table.bucket_digests)


def encode_fingerprints(table: MemberTable, rng: random.Random) -> str:
    """Return the short fingerprints of as many buckets as fit.

    Starts at a random bucket.
    """
    start = rng.randrange(BUCKETS)
    parts: list[str] = []
    size = 0
    for number in range(start, start + BUCKETS):
        part = bucket_fingerprints(table, number % BUCKETS)
        size += len(part) + 1
        if parts and size > MAX_FINGERPRINTS_SIZE:
            break
        parts.append(part)
    return ','.join(parts)


def bucket_fingerprints(table: MemberTable, number: int) -> str:
    entries = table.buckets[number].values()
    hashes = ''.join(
        short_hash(e.fingerprint) for e in entries if is_live(e.record)
    )
    return f'{number}:{hashes}'


def select_entries(
    table: MemberTable, text: str, rng: random.Random
) -> list[Entry]:
    """Return the entries that answer a pull, in sending order.

    A malformed text requests nothing.
    """
    if not text:
        return all_live_entries(table, rng)
    if ':' in text:
        return missing_entries(table, text)
    if len(text) != DIGESTS_SIZE:
        return []
    return differing_entries(table, split_hashes(text), rng)


def all_live_entries(table: MemberTable, rng: random.Random) -> list[Entry]:
    entries = [e for e in table.entries.values() if is_live(e.record)]
    rng.shuffle(entries)
    return entries


def differing_entries(
    table: MemberTable, digests: list[str], rng: random.Random
) -> list[Entry]:
    """Return all entries of differing buckets, tombstones included."""
    numbers = [
        n
        for n in range(BUCKETS)
        if digests[n] != short_hash(table.bucket_digests[n])
    ]
    rng.shuffle(numbers)
    return [e for n in numbers for e in table.buckets[n].values()]


def missing_entries(table: MemberTable, text: str) -> list[Entry]:
    """Return entries missing from a list, and listed ones that are gone."""
    result = []
    for part in text.split(','):
        name, _, hashes = part.partition(':')
        number = read_unsigned(name)
        if number is None or number >= BUCKETS:
            continue
        known = set(split_hashes(hashes))
        for entry in table.buckets[number].values():
            listed = short_hash(fingerprint(entry.record)) in known
            if listed != is_live(entry.record):
                result.append(entry)
    return result
