"""How a pull says what its sender knows, and what it gets for it.

The text of a pull has one of three forms: empty (nothing is known), one
short digest for each bucket (steady state: find the few that differ), or
the short marks of every live record of some buckets (a transfer is going
on: only what is missing comes back). An example of the last form is
``7:01ab9f3c,8:`` for two records of bucket 7 and none of bucket 8.
"""

import random

from cyclamenlift.membership.records import fingerprint
from cyclamenlift.membership.records import is_live
from cyclamenlift.membership.table import BUCKETS
from cyclamenlift.membership.table import Entry
from cyclamenlift.membership.table import MemberTable

DIGITS = 4
MASK = 0xFFFF
DIGESTS_SIZE = BUCKETS * DIGITS
MAX_MARKS_SIZE = 240


def short(mark: int) -> str:
    """Return the low bits of a fingerprint as text.

    >>> short(0x1234ABCD)
    'abcd'
    """
    return f'{mark & MASK:0{DIGITS}x}'


def split_marks(text: str) -> list[str]:
    """Return the short marks that stand side by side in a text."""
    return [text[i : i + DIGITS] for i in range(0, len(text), DIGITS)]


def write_digests(table: MemberTable) -> str:
    """Return the short digest of every bucket."""
    return ''.join(short(mark) for mark in table.marks)


def write_marks(table: MemberTable, rng: random.Random) -> str:
    """Return the marks of as many buckets as fit, from a random one on."""
    start = rng.randrange(BUCKETS)
    parts: list[str] = []
    size = 0
    for number in range(start, start + BUCKETS):
        part = bucket_marks(table, number % BUCKETS)
        size += len(part) + 1
        if parts and size > MAX_MARKS_SIZE:
            break
        parts.append(part)
    return ','.join(parts)


def bucket_marks(table: MemberTable, number: int) -> str:
    entries = table.buckets[number].values()
    marks = ''.join(short(e.mark) for e in entries if is_live(e.record))
    return f'{number}:{marks}'


def wanted(table: MemberTable, text: str, rng: random.Random) -> list[Entry]:
    """Return the entries that answer a pull, in the order of sending.

    A text that can't be read asks for nothing.
    """
    if not text:
        return everything(table, rng)
    if ':' in text:
        return missing_entries(table, text)
    if len(text) != DIGESTS_SIZE:
        return []
    return differing_entries(table, split_marks(text), rng)


def everything(table: MemberTable, rng: random.Random) -> list[Entry]:
    entries = [e for e in table.entries.values() if is_live(e.record)]
    rng.shuffle(entries)
    return entries


def differing_entries(
    table: MemberTable, digests: list[str], rng: random.Random
) -> list[Entry]:
    """Return all of the buckets that differ, tombstones too."""
    numbers = [
        n for n in range(BUCKETS) if digests[n] != short(table.marks[n])
    ]
    rng.shuffle(numbers)
    return [e for n in numbers for e in table.buckets[n].values()]


def missing_entries(table: MemberTable, text: str) -> list[Entry]:
    """Return what a list of marks lacks, and who on it is gone."""
    result = []
    for part in text.split(','):
        name, _, marks = part.partition(':')
        if not name.isdecimal() or int(name) >= BUCKETS:
            continue
        known = set(split_marks(marks))
        for entry in table.buckets[int(name)].values():
            listed = short(fingerprint(entry.record)) in known
            if listed != is_live(entry.record):
                result.append(entry)
    return result
