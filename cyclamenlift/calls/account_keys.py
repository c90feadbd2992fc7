"""Finds the client account that a request belongs to.

A caller proves its account by a key. A call that the local target makes while
it runs another has none and belongs to the account of that one.
"""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.calls.nested import Parent
from cyclamenlift.core.call_ids import is_nested_id
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.accounts import AccountTable
from cyclamenlift.models.rules import RouteRule


def find_account(
    exchange: Exchange,
    accounts: AccountTable | None,
    route: RouteRule | None,
    parent: Parent | None,
) -> Result[AccountRule | None, Problem]:
    """Return the account of a request, None if it needs none."""
    if accounts is None:
        return Success(None)
    if parent is not None:
        return Success(account_of_parent(accounts, parent.account))
    open_to_all = route is not None and route.open_to_all
    keys = read_keys(exchange)
    if not keys and open_to_all:
        return Success(None)
    if not keys:
        return Failure(missing_key(exchange))
    if len(keys) > 1 or not keys[0]:
        return Failure(Problem(ResultCode.ACCOUNT_KEY_REPEATED))
    account = accounts.find_by_key(keys[0])
    if account is None and not open_to_all:
        return Failure(Problem(ResultCode.ACCOUNT_KEY_UNKNOWN))
    return Success(account)


def read_keys(exchange: Exchange) -> list[str]:
    """Return the values of all header fields that hold a key."""
    name = exchange.dialect.account_key
    return [value for field, value in exchange.headers if field == name]


def missing_key(exchange: Exchange) -> Problem:
    """Return why a request without a key is refused.

    One with the identifier of a nested call may come from the target, whose
    call is not known here, as this process has just started: it may be tried
    again. Without its parent it can't be told from a caller's.
    """
    call_id = exchange.header(exchange.dialect.call_id) or ''
    if is_nested_id(call_id):
        return Problem(ResultCode.PARENT_UNKNOWN)
    return Problem(ResultCode.ACCOUNT_KEY_MISSING)


def account_of_parent(accounts: AccountTable, name: str) -> AccountRule | None:
    """Return the account of a parent, also if it was removed meanwhile."""
    if not name:
        return None
    return accounts.by_name.get(name) or AccountRule(name, (), None, 0.0, 0.0)
