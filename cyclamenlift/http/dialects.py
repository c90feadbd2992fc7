"""Names of the product's non-standard HTTP header fields.

Every non-standard header field is read and written through a ``Dialect``.
Names are in lower case; an empty name means that the dialect has no such
field.
"""

import dataclasses

from cyclamenlift.core.registry import Registry


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Names of header fields.

    ``call_id`` identifies the caller's attempt and is forwarded to the
    target, which echoes it if ``call_id_repeated``. ``time_left_ms`` is the
    caller's timeout and, for the target, the remaining time. ``depth`` is
    the number of nested calls above this one. ``caller_service`` is the
    service of the instance where the call entered. ``credentials`` holds
    what a caller proves itself with to the target; here it only
    distinguishes requests. ``account_key`` is the key of a caller's account,
    which no target sees, ``account`` the name of the account for the target.
    ``required_incarnation`` is the only incarnation of the target that may run
    the call, ``incarnation`` the one that responds. ``proof`` is present in
    every response made by a target; ``not_run`` states that the target
    didn't run the call; ``load`` holds the load that the target reports and
    ``cold_ms``, on its health page, how much longer it is cold.
    ``calls_per_second`` is a limit that the target declares, ``leaving`` says
    that it is about to leave.
    ``call_id_required`` rejects requests without a call ID.
    ``fractional_retry`` writes ``Retry-After`` with fractions.
    """

    call_id: str
    time_left_ms: str
    depth: str = ''
    caller_service: str = ''
    credentials: str = ''
    account_key: str = ''
    account: str = ''
    required_incarnation: str = ''
    incarnation: str = ''
    proof: str = ''
    not_run: str = ''
    load: str = ''
    cold_ms: str = ''
    calls_per_second: str = ''
    leaving: str = ''
    call_id_required: bool = False
    call_id_repeated: bool = False
    fractional_retry: bool = False

    @property
    def reserved_fields(self) -> frozenset[str]:
        """Fields set by entry and gate; those of a caller are removed."""
        names = (
            self.call_id,
            self.time_left_ms,
            self.depth,
            self.caller_service,
            self.account,
            self.required_incarnation,
        )
        return frozenset(name for name in names if name)


DIALECTS: Registry[Dialect] = Registry('dialect')

DEFAULT_DIALECT = DIALECTS.register('default')(
    Dialect(
        call_id='cyclamenlift-call-id',
        time_left_ms='cyclamenlift-timeout-ms',
        depth='cyclamenlift-depth',
        caller_service='cyclamenlift-caller-service',
        credentials='authorization',
        account_key='cyclamenlift-key',
        account='cyclamenlift-account',
    )
)
