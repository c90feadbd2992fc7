"""Line-based form of the event document, as daemons store it.

The first line is the JSON of everything except the routes and accounts; each
further line is the JSON of one route, or of one account. A change of one of
them thus changes a single line to transfer and parse. The source text is
omitted: only operators read it, it holds the keys of accounts, and it would
take half of the bytes.
"""

import dataclasses
import json

from cyclamenlift.models.accounts import AccountModel
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.accounts import AccountTable
from cyclamenlift.models.accounts import rule_from_account
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.routes import RouteModel
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import RouteRule
from cyclamenlift.models.rules import RouteTable
from cyclamenlift.models.rules import rule_from_route
from cyclamenlift.models.rules import rules_from_document

Lines = tuple[bytes, ...]
Rule = RouteRule | AccountRule
# Begins the line of an account; the line of a route begins with its host.
ACCOUNT_MARK = b'{"account":'


def dump(value) -> bytes:
    """Serialize a value to one line of deterministic JSON."""
    return json.dumps(value, sort_keys=True, separators=(',', ':')).encode()


def lines_from_canonical(data: bytes) -> Lines:
    """Convert the canonical form of a document to lines.

    >>> lines_from_canonical(b'{"event":"e","routes":[{"name":"r"}]}')
    (b'{"event":"e"}', b'{"name":"r"}')
    >>> lines_from_canonical(b'{"accounts":[{"name":"a"}],"routes":[]}')
    (b'{}', b'{"account":{"name":"a"}}')
    """
    value = json.loads(data)
    routes = value.pop('routes', ())
    accounts = value.pop('accounts', ())
    value.pop('source', None)
    return (
        dump(value),
        *(dump(route) for route in routes),
        *(dump({'account': account}) for account in accounts),
    )


def canonical_from_lines(lines: Lines) -> bytes:
    """Return the canonical form, for peers that do not support lines."""
    value = json.loads(lines[0])
    routes = [line for line in lines[1:] if not is_account(line)]
    accounts = [line for line in lines[1:] if is_account(line)]
    value['routes'] = [json.loads(line) for line in routes]
    if accounts:
        value['accounts'] = [json.loads(line)['account'] for line in accounts]
    return dump(value)


def is_account(line: bytes) -> bool:
    """Return whether a line holds an account, not a route."""
    return line.startswith(ACCOUNT_MARK)


def rules_by_line(lines: Lines, rules: EventRules | None) -> dict[bytes, Rule]:
    """Map each line of a route or account to its parsed rule."""
    if rules is None:
        return {}
    routes = rules.routes.routes if rules.routes else ()
    accounts = rules.accounts.accounts if rules.accounts else ()
    return dict(zip(lines[1:], (*routes, *accounts), strict=True))


def rules_from_lines(
    lines: Lines, version: int, known: dict[bytes, Rule]
) -> EventRules:
    """Return the rules of a document; raise ValueError if it is invalid.

    Rules of ``known`` lines are reused: parsing a route takes 25
    microseconds, and a document may have thousands.
    """
    if not lines:
        raise ValueError('a document without lines')
    head = EventDocument.model_validate_json(lines[0])
    rules = rules_from_document(head, version)
    items = [known.get(line) or read_item(line) for line in lines[1:]]
    routes = tuple(item for item in items if isinstance(item, RouteRule))
    accounts = tuple(item for item in items if isinstance(item, AccountRule))
    for route in routes:
        check_services(route, rules)
    return dataclasses.replace(
        rules,
        routes=RouteTable(routes) if routes else None,
        accounts=AccountTable(accounts) if accounts else None,
    )


def read_item(line: bytes) -> Rule:
    """Return the rule of a route's or an account's line."""
    if not is_account(line):
        return rule_from_route(RouteModel.model_validate_json(line))
    value = json.loads(line)['account']
    return rule_from_account(AccountModel.model_validate(value))


def check_services(route: RouteRule, rules: EventRules) -> None:
    for share in route.shares:
        if share.service not in rules.services:
            raise ValueError(
                f'route {route.name!r} names the unknown service '
                f'{share.service!r}'
            )
