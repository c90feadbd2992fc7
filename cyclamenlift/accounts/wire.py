"""Conversion between the typed values and their wire messages."""

from cyclamenlift.accounts.messages import Demand
from cyclamenlift.accounts.messages import Grant
from cyclamenlift.accounts.messages import Use
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.wire.gen.protocol.ttypes import AccountDemand
from cyclamenlift.wire.gen.protocol.ttypes import AccountDemands
from cyclamenlift.wire.gen.protocol.ttypes import AccountGrant
from cyclamenlift.wire.gen.protocol.ttypes import AccountGrants
from cyclamenlift.wire.gen.protocol.ttypes import AccountReport
from cyclamenlift.wire.gen.protocol.ttypes import AccountUse


def report_to_wire(number: int, uses: list[Use]) -> AccountReport:
    """Return the report of an entry."""
    items = [
        AccountUse(use.account, use.used, use.wanted, use.turned_away)
        for use in uses
    ]
    return AccountReport(number, items)


def uses_from_wire(message: AccountReport) -> list[Use]:
    """Return what an entry reports; counts that can't be are read as 0."""
    return [
        Use(
            item.account,
            item.used or 0,
            max(0, item.wanted or 0),
            max(0, item.turned_away or 0),
        )
        for item in message.uses
    ]


def grants_to_wire(number: int, grants: list[Grant]) -> AccountGrants:
    """Return grants; ``number`` 0 means that they are no answer."""
    items = [
        AccountGrant(
            grant.account,
            grant.granted,
            int(grant.wait_seconds * MILLISECONDS),
            int(grant.tight_seconds * MILLISECONDS),
            grant.calls_per_second,
        )
        for grant in grants
    ]
    return AccountGrants(number, items)


def grants_from_wire(message: AccountGrants) -> list[Grant]:
    """Return the grants of a home."""
    return [
        Grant(
            item.account,
            max(0, item.granted or 0),
            (item.wait_ms or 0) / MILLISECONDS,
            (item.tight_ms or 0) / MILLISECONDS,
            item.calls_per_second or 0.0,
        )
        for item in message.grants
    ]


def demands_to_wire(
    data_centre: str,
    demands: list[Demand],
    number: int,
    confirms: bool = False,
) -> AccountDemands:
    """Return what a data centre demands, ``number`` as its identifier."""
    items = [AccountDemand(d.account, d.calls_per_second) for d in demands]
    return AccountDemands(data_centre, items, number, confirms)


def demands_from_wire(message: AccountDemands) -> list[Demand]:
    """Return what another data centre demands."""
    return [
        Demand(item.account, max(0.0, item.calls_per_second or 0.0))
        for item in message.demands
    ]
