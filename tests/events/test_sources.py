"""Order and limit of the sources remembered for a version."""

from cyclamenlift.core.streams import Address
from cyclamenlift.events.sources import DocumentSources
from cyclamenlift.events.sources import MAX_ANNOUNCERS

MEMBERS = [Address('10.0.1.1', 8000 + n) for n in range(MAX_ANNOUNCERS + 2)]


def chosen(sources: DocumentSources) -> list[Address]:
    """Return the addresses chosen in turn while all of them fail."""
    found = []
    while (address := sources.next_announcer()) is not None:
        sources.tried.add(address)
        found.append(address)
    return found


def test_announcers_are_tried_newest_first_once_and_bounded():
    sources = DocumentSources()
    for address in MEMBERS:
        sources.add(address)
    # A repeated announcement makes a peer the newest.
    sources.add(MEMBERS[5])
    others = [a for a in MEMBERS[2:] if a != MEMBERS[5]]
    assert chosen(sources) == [MEMBERS[5], *reversed(others)]
    sources.add(MEMBERS[5])
    assert chosen(sources) == []
    sources.reset(MEMBERS[4])
    assert set(chosen(sources)) == set(MEMBERS[2:]) - {MEMBERS[4]}
