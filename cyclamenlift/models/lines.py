"""The form in which daemons hold a document: a line for each part.

The first line is the JSON of everything but the routes, each further line
that of one route. So a change of one route is a change of one line, to send
and to read. The text that the document was made from is left out: only
operators read it, and it would be half of the bytes.
"""

import dataclasses
import json

from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.routes import RouteModel
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import route_of
from cyclamenlift.models.rules import RouteRule
from cyclamenlift.models.rules import RouteTable
from cyclamenlift.models.rules import rules_from_document

Lines = tuple[bytes, ...]


def dump(value) -> bytes:
    """Return one line of JSON, the same for the same value."""
    return json.dumps(value, sort_keys=True, separators=(',', ':')).encode()


def lines_from_canonical(data: bytes) -> Lines:
    """Return the lines of a document's canonical bytes.

    >>> lines_from_canonical(b'{"event":"e","routes":[{"name":"r"}]}')
    (b'{"event":"e"}', b'{"name":"r"}')
    """
    value = json.loads(data)
    routes = value.pop('routes', ())
    value.pop('source', None)
    return (dump(value), *(dump(route) for route in routes))


def canonical_from_lines(lines: Lines) -> bytes:
    """Return canonical bytes, for a peer that does not know lines."""
    value = json.loads(lines[0])
    value['routes'] = [json.loads(line) for line in lines[1:]]
    return dump(value)


def known_routes(lines: Lines, rules: EventRules | None) -> dict:
    """Return the inside form of each route by its line."""
    if rules is None or rules.routes is None:
        return {}
    return dict(zip(lines[1:], rules.routes.routes, strict=True))


def rules_from_lines(
    lines: Lines, version: int, known: dict[bytes, RouteRule]
) -> EventRules:
    """Return the inside form; ValueError if the lines are no document.

    Routes that are ``known`` are taken as they are: to read one costs 25
    microseconds, and a document may have thousands.
    """
    if not lines:
        raise ValueError('a document without lines')
    head = EventDocument.model_validate_json(lines[0])
    rules = rules_from_document(head, version)
    routes = tuple(known.get(line) or read_route(line) for line in lines[1:])
    for route in routes:
        check_services(route, rules)
    table = RouteTable(routes) if routes else None
    return dataclasses.replace(rules, routes=table)


def read_route(line: bytes) -> RouteRule:
    return route_of(RouteModel.model_validate_json(line))


def check_services(route: RouteRule, rules: EventRules) -> None:
    for share in route.shares:
        if share.service not in rules.services:
            raise ValueError(
                f'route {route.name!r} names the unknown service '
                f'{share.service!r}'
            )
