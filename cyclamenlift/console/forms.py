"""Conversion between form fields and document values.

A form field is named by its path in the document, such as
``services[0].deadline_ms``. Validation errors use the same paths, so each
error can be shown at its field.
"""

import re

PART = re.compile(r'([a-z_]+)|\[(\d{1,3})\]')
PATH = re.compile(r'[a-z_]+(\[\d{1,3}\]|\.[a-z_]+)*')
MAX_DEPTH = 6
NAME_LIST_FIELDS = ('targets', 'data_centres')

Fields = list[tuple[str, str]]


class FormError(ValueError):
    """The field names of a form do not describe a document."""


def parse_path(name: str) -> list[str | int]:
    """Split the path of a field into names and list indexes.

    >>> parse_path('services[0].objective.percent')
    ['services', 0, 'objective', 'percent']
    """
    if PATH.fullmatch(name) is None:
        raise FormError(f'invalid field name {name[:100]!r}')
    parts = [word or int(index) for word, index in PART.findall(name)]
    if len(parts) > MAX_DEPTH:
        raise FormError(f'{name[:100]!r} is nested too deeply')
    return parts


def value_from_fields(fields: Fields) -> dict:
    """Build a document value from form fields without validating it.

    Values stay strings: the document's validation converts them to numbers
    and dates and reports invalid ones. Raises FormError.

    >>> value_from_fields([('event', 'm'), ('services[4].targets', 'a, b')])
    {'event': 'm', 'services': [{'targets': ['a', 'b']}]}
    """
    tree: dict = {}
    for name, text in fields:
        parts = parse_path(name)
        node = tree
        for part in parts[:-1]:
            node = node.setdefault(part, {})
            if not isinstance(node, dict):
                raise FormError(f'{name!r} is both a field and a group')
        if parts[-1] in NAME_LIST_FIELDS:
            node[parts[-1]] = split_names(text)
        else:
            node[parts[-1]] = text
    return groups_to_lists(tree)


def split_names(text: str) -> list[str]:
    """Split a comma-separated list of names.

    >>> split_names('a, b,')
    ['a', 'b']
    """
    return [part.strip() for part in text.split(',') if part.strip()]


def groups_to_lists(node):
    """Turn groups with numeric keys into lists, ordered by key."""
    if not isinstance(node, dict):
        return node
    if node and all(isinstance(key, int) for key in node):
        return [groups_to_lists(node[key]) for key in sorted(node)]
    if any(isinstance(key, int) for key in node):
        raise FormError('a group mixes field names and list indexes')
    return {key: groups_to_lists(item) for key, item in node.items()}


def text_at(value, path: str) -> str:
    """Return the form text of the value at ``path``, empty if missing.

    >>> text_at({'services': [{'hedge': True}]}, 'services[0].hedge')
    'true'
    """
    node = value
    for part in parse_path(path):
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return ''
    return format_value(node)


def format_value(item) -> str:
    """Format one value as the text of a form field.

    >>> format_value(20.0), format_value(99.9)
    ('20', '99.9')
    >>> format_value(False), format_value(['a', 'b'])
    ('false', 'a, b')
    """
    if item is None:
        return ''
    if isinstance(item, bool):
        return 'true' if item else 'false'
    if isinstance(item, float) and item.is_integer():
        return str(int(item))
    if isinstance(item, list | tuple):
        return ', '.join(format_value(part) for part in item)
    return str(item)


def list_at(value, *path: str | int) -> list:
    """Return the list at ``path``, an empty one if there is none."""
    node = value
    for part in path:
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return []
    return node if isinstance(node, list) else []
