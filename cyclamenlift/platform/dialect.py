"""Header field names of the platform."""

from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.dialects import DIALECTS

# The version of the configuration that a change is based on, a number.
BASE_VERSION_FIELD = 'base-version'

PLATFORM_DIALECT = DIALECTS.register('platform')(
    Dialect(
        # Identifies one attempt of a caller; each retry has a new value.
        call_id='attempt-id',
        # From callers the total time limit, to targets the remaining time.
        time_left_ms='deadline-ms',
        # Names the service whose target runs beside the entry, not a caller.
        caller_service='caller-service',
        # From callers, instead of a name: the key of their account.
        account_key='key',
        # To targets, the account that holds the key.
        account='tenant',
        # The only incarnation that may run the request, not a preference.
        required_incarnation='target-instance',
        incarnation='instance-id',
        proof='response-stamp',
        not_run='not-executed',
        load='server-load',
        cold_ms='cold-ms',
        # Calls a second from all instances together, while it is present.
        calls_per_second='server-limit',
        # '1' from a target that leaves.
        leaving='server-leaving',
        call_id_required=True,
        call_id_repeated=True,
        fractional_retry=True,
    )
)
