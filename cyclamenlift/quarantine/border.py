"""Input models of operator commands."""

from typing import Annotated

import pydantic

from cyclamenlift.quarantine.fingerprints import FINGERPRINT_BYTES

HEX_DIGITS = 2 * FINGERPRINT_BYTES
MAX_LIFTED = 256
Fingerprint = Annotated[
    str, pydantic.Field(pattern=f'^[0-9a-f]{{{HEX_DIGITS}}}$')
]


class LiftOrder(pydantic.BaseModel):
    """Fingerprints of requests to release from quarantine."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    fingerprints: Annotated[
        list[Fingerprint], pydantic.Field(min_length=1, max_length=MAX_LIFTED)
    ]
