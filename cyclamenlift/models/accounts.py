"""Client accounts of the event document: validation models and rules.

Daemons know the keys of an account only by their digests.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

import pydantic

from cyclamenlift.models.routes import StrictModel

# The name is sent to targets in a header field, hence without control
# characters or spaces at its ends.
NAME_PATTERN = r'^[!-~]([ -~]{0,126}[!-~])?$'
KEY_PATTERN = r'^[!-~]{1,256}$'
DIGEST_PATTERN = r'^[0-9a-f]{32}$'
DIGEST_BYTES = 16
# Ranks of accounts precede those of routes: the combined rank of a call is
# account rank * RANKS + route rank.
RANKS = 1_001


def key_digest(key: str) -> str:
    """Return the digest by which daemons know a key, as 32 hex digits."""
    data = key.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class AccountModel(StrictModel):
    """A client account: its keys, its rank and its limit.

    ``key_digests`` stands for ``keys`` in the canonical form of a document.
    """

    name: str = pydantic.Field(
        pattern=NAME_PATTERN, description='name, which targets are told'
    )
    keys: tuple[str, ...] = pydantic.Field(
        (),
        max_length=100,
        description='keys of 1 to 256 visible ASCII characters',
    )
    key_digests: tuple[str, ...] = pydantic.Field(
        (), max_length=100, description='digests of the keys'
    )
    rank: int | None = pydantic.Field(
        None,
        ge=0,
        le=1_000,
        description="priority, which goes before the route's; 0 is the most "
        "urgent; null: the route's",
    )
    calls_per_second: float = pydantic.Field(
        0.0,
        ge=0,
        le=10_000_000,
        description='limit over all instances; 0: no limit',
    )
    burst_calls: float = pydantic.Field(
        0.0,
        ge=0,
        le=10_000_000,
        description='calls that may exceed the limit at once; at least 1 '
        'where there is a limit',
    )

    @pydantic.field_validator('keys')
    @classmethod
    def check_keys(cls, keys: tuple[str, ...]) -> tuple[str, ...]:
        for number, key in enumerate(keys, start=1):
            visible = all('!' <= character <= '~' for character in key)
            if not (1 <= len(key) <= 256 and visible):
                # The message must not contain the key.
                raise ValueError(
                    f'key {number} is not 1 to 256 visible ASCII characters'
                )
        return keys

    @pydantic.field_validator('key_digests')
    @classmethod
    def check_digests(cls, digests: tuple[str, ...]) -> tuple[str, ...]:
        for digest in digests:
            if len(digest) != 2 * DIGEST_BYTES or digest.strip(
                '0123456789abcdef'
            ):
                raise ValueError('a digest has 32 hex digits')
        return digests

    @pydantic.model_validator(mode='after')
    def check_consistency(self) -> 'AccountModel':
        if self.calls_per_second and self.burst_calls < 1:
            raise ValueError(f'account {self.name!r} has a limit, no burst')
        return self

    def digests(self) -> tuple[str, ...]:
        """Return the digests of all keys, each once."""
        found = (*self.key_digests, *map(key_digest, self.keys))
        return tuple(dict.fromkeys(found))


def account_value(account: AccountModel) -> dict:
    """Return the canonical form of an account, which holds no key."""
    value = account.model_dump(mode='json', exclude={'keys'})
    value['key_digests'] = list(account.digests())
    return value


def check_accounts(accounts: Iterable[AccountModel]) -> list[str]:
    """Return what is wrong with the accounts as a whole."""
    problems = []
    names = set()
    owner_of: dict[str, str] = {}
    for account in accounts:
        if account.name in names:
            problems.append(f'account named twice: {account.name!r}')
        names.add(account.name)
        for digest in account.digests():
            owner = owner_of.setdefault(digest, account.name)
            if owner != account.name:
                problems.append(
                    f'accounts {owner!r} and {account.name!r} share a key'
                )
    return problems


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRule:
    """An account in use.

    ``calls_per_second`` 0 means no limit, ``rank`` None that of the route.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None
    calls_per_second: float
    burst_calls: float

    @property
    def weight(self) -> float:
        """The account's share when accounts compete, 1 without a limit."""
        return self.calls_per_second or 1.0


class AccountTable:
    """Finds accounts by the digest of a key, or by name."""

    def __init__(self, accounts: tuple[AccountRule, ...]):
        self.accounts = accounts
        self.by_name = {account.name: account for account in accounts}
        self.by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }

    def find_by_key(self, key: str) -> AccountRule | None:
        """Return the account that holds a key."""
        return self.by_digest.get(key_digest(key))


def rule_from_account(account: AccountModel) -> AccountRule:
    """Convert an account to a rule."""
    return AccountRule(
        name=account.name,
        key_digests=account.digests(),
        rank=account.rank,
        calls_per_second=account.calls_per_second,
        burst_calls=account.burst_calls,
    )


def account_table(accounts: tuple[AccountModel, ...]) -> AccountTable | None:
    """Return the table of a document's accounts, None without accounts."""
    if not accounts:
        return None
    return AccountTable(tuple(map(rule_from_account, accounts)))
