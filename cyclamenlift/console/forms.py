"""Form fields to a document value and back.

A form field is named by its path in the document, such as
``services[0].deadline_ms``. The errors of a document name the same paths,
so each error finds its field.
"""

import re

PART = re.compile(r'([a-z_]+)|\[(\d{1,3})\]')
PATH = re.compile(r'[a-z_]+(\[\d{1,3}\]|\.[a-z_]+)*')
MAX_DEPTH = 6
LISTS_OF_NAMES = ('targets', 'data_centres')

Fields = list[tuple[str, str]]


class FormError(ValueError):
    """A form whose field names make no document."""


def parse_path(name: str) -> list[str | int]:
    """Return the parts of a field's path.

    >>> parse_path('services[0].objective.percent')
    ['services', 0, 'objective', 'percent']
    """
    if PATH.fullmatch(name) is None:
        raise FormError(f'no field is called {name[:100]!r}')
    parts = [word or int(index) for word, index in PART.findall(name)]
    if len(parts) > MAX_DEPTH:
        raise FormError(f'{name[:100]!r} lies too deep')
    return parts


def value_from_fields(fields: Fields) -> dict:
    """Return the document value that a form describes, not validated.

    Texts stay texts: the document's own validation turns them into numbers
    and dates, and reports those that are none. Raises FormError.

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
        if parts[-1] in LISTS_OF_NAMES:
            node[parts[-1]] = split_names(text)
        else:
            node[parts[-1]] = text
    return close_gaps(tree)


def split_names(text: str) -> list[str]:
    """Return the names in a text with commas.

    >>> split_names('a, b,')
    ['a', 'b']
    """
    return [part.strip() for part in text.split(',') if part.strip()]


def close_gaps(node):
    """Turn groups with numbers for names into lists, in their order."""
    if not isinstance(node, dict):
        return node
    if node and all(isinstance(key, int) for key in node):
        return [close_gaps(node[key]) for key in sorted(node)]
    if any(isinstance(key, int) for key in node):
        raise FormError('a group mixes names and numbers')
    return {key: close_gaps(item) for key, item in node.items()}


def text_at(value, path: str) -> str:
    """Return what a form shows for ``path``, empty if there is nothing.

    >>> text_at({'services': [{'hedge': True}]}, 'services[0].hedge')
    'true'
    """
    node = value
    for part in parse_path(path):
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return ''
    return text_of(node)


def text_of(item) -> str:
    """Return one value as the text of a form field.

    >>> text_of(20.0), text_of(99.9), text_of(False), text_of(['a', 'b'])
    ('20', '99.9', 'false', 'a, b')
    """
    if item is None:
        return ''
    if isinstance(item, bool):
        return 'true' if item else 'false'
    if isinstance(item, float) and item.is_integer():
        return str(int(item))
    if isinstance(item, list | tuple):
        return ', '.join(text_of(part) for part in item)
    return str(item)


def rows_at(value, *path: str | int) -> list:
    """Return the list at a place of a value, empty if there is none."""
    node = value
    for part in path:
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return []
    return node if isinstance(node, list) else []
