"""Order and limit of the sources remembered for a version."""

from cyclamenlift.core.streams import Address
from cyclamenlift.events.sources import MOST_NAMED
from cyclamenlift.events.sources import Sources

MEMBERS = [Address('10.0.1.1', 8000 + n) for n in range(MOST_NAMED + 2)]


def chosen(sources: Sources) -> list[Address]:
    """Return the addresses chosen in turn while all of them fail."""
    found = []
    while (address := sources.next_named()) is not None:
        sources.tried.add(address)
        found.append(address)
    return found


def test_the_last_that_named_it_come_first_each_once_and_few():
    sources = Sources()
    for address in MEMBERS:
        sources.name(address)
    # A repeated announcement makes a peer the newest.
    sources.name(MEMBERS[5])
    others = [a for a in MEMBERS[2:] if a != MEMBERS[5]]
    assert chosen(sources) == [MEMBERS[5], *reversed(others)]
    sources.name(MEMBERS[5])
    assert chosen(sources) == []
    sources.begin_anew(MEMBERS[4])
    assert set(chosen(sources)) == set(MEMBERS[2:]) - {MEMBERS[4]}
