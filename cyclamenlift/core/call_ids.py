"""Identifiers of nested calls: that of the parent with a suffix."""

SEPARATOR = '.'


def parent_id(call_id: str) -> str:
    """Return the identifier of a call's parent, '' if it names none.

    >>> parent_id('a.1'), parent_id('a')
    ('a', '')
    """
    return call_id.rpartition(SEPARATOR)[0]


def is_nested_id(call_id: str) -> bool:
    """Return whether an identifier has the form of a nested call's."""
    return bool(parent_id(call_id))
