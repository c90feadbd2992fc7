"""Selection and serialization of header fields."""

from collections.abc import Iterable

Headers = list[tuple[str, str]]

HOP_BY_HOP = frozenset(
    {
        'connection',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
FRAMING = frozenset({'connection', 'content-length', 'transfer-encoding'})


class HeaderError(ValueError):
    """A header field that would corrupt the framing of the message."""


def find_header(headers: Headers, name: str) -> str | None:
    """Return the value of the first field named ``name``.

    >>> find_header([('host', 'a'), ('accept', 'b')], 'accept')
    'b'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(
    headers: Headers, dropped: frozenset[str] = HOP_BY_HOP
) -> Headers:
    """Return the fields to forward to the next hop.

    Removes the hop-by-hop fields, those listed in ``Connection``, and
    ``Expect``, which this hop handles. Names are in lower case. To remove
    further fields, pass ``dropped``, which must include ``HOP_BY_HOP``.

    >>> end_to_end([('connection', 'x-a'), ('x-a', '1'), ('x-b', '2')])
    [('x-b', '2')]
    """
    for name, value in headers:
        if name == 'connection':
            named = {part.strip().lower() for part in value.split(',')}
            dropped = dropped | named
    return [field for field in headers if field[0] not in dropped]


def render_head(start_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return a message head including its final empty line.

    Raises HeaderError when a name or value contains a line break, a NUL or
    a character outside Latin-1, which would allow header injection.

    >>> render_head('HTTP/1.1 200 OK', [('a', 'b')])
    b'HTTP/1.1 200 OK\\r\\na: b\\r\\n\\r\\n'
    >>> render_head('HTTP/1.1 200 OK', [('a', 'b\\r\\nc: d')])
    Traceback (most recent call last):
    ...
    cyclamenlift.http.headers.HeaderError: a line break in a header field
    """
    lines = [start_line]
    for name, value in fields:
        lines.append(f'{name}: {value}')
    try:
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
    except UnicodeEncodeError as error:
        raise HeaderError('a header field is not Latin-1') from error
    # Each line contributes one CR and one LF; extra ones are from a value.
    ends = len(lines) + 1
    if head.count(b'\r') != ends or head.count(b'\n') != ends:
        raise HeaderError('a line break in a header field')
    if b'\0' in head:
        raise HeaderError('a NUL in a header field')
    return head
