"""The header fields of the platform, under the product's names."""

from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.dialects import DIALECTS

# What an operator's change builds on: the version in force, a number.
BASE_VERSION_FIELD = 'base-version'

PLATFORM_DIALECT = DIALECTS.register('platform')(
    Dialect(
        # One try of a caller; each retry of the caller has a new one.
        call_id='attempt-id',
        # From callers the whole time limit, to targets what is left.
        time_left_ms='deadline-ms',
        # Names a service, not a caller: the one on the entry's machine.
        caller_service='caller-service',
        # The incarnation that may run it, not merely the one preferred.
        required_incarnation='target-instance',
        incarnation='instance-id',
        proof='response-stamp',
        not_run='not-executed',
        load='server-load',
        call_id_required=True,
        call_id_repeated=True,
        fractional_retry=True,
    )
)
