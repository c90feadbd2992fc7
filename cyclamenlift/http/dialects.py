"""Dialects of the HTTP border: what callers and targets call things.

Everything that the product says or reads in header fields beside the
standard ones goes through a ``Dialect``. Names are in lower case; an empty
name means that the dialect has no such field.
"""

import dataclasses

from cyclamenlift.core.registry import Registry


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Names of header fields.

    ``call_id`` names the caller's attempt and goes on to the target, which
    repeats it if ``call_id_repeated``. ``time_left_ms`` is the caller's
    time limit and, to the target, what is left of it. ``depth`` counts the
    calls above this one. ``caller_service`` tells the target which service
    runs where the call began. ``client_account`` names whom a caller acts
    for; it only tells requests apart. ``incarnation_asked`` names the
    incarnation of the target that alone may run the call, ``incarnation``
    the one that answers. ``proof`` is on every answer that a target made;
    ``not_run`` says that the target did not run the call; ``load`` holds
    the target's own load. ``call_id_required`` refuses callers without
    one. ``fractional_retry`` writes ``Retry-After`` with fractions.
    """

    call_id: str
    time_left_ms: str
    depth: str = ''
    caller_service: str = ''
    client_account: str = ''
    incarnation_asked: str = ''
    incarnation: str = ''
    proof: str = ''
    not_run: str = ''
    load: str = ''
    call_id_required: bool = False
    call_id_repeated: bool = False
    fractional_retry: bool = False

    @property
    def own_fields(self) -> frozenset[str]:
        """The fields that entry and gate write; a caller's are dropped."""
        names = (
            self.call_id,
            self.time_left_ms,
            self.depth,
            self.caller_service,
            self.incarnation_asked,
        )
        return frozenset(name for name in names if name)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a target tells of its load.

    ``pace_percent`` says how long work takes there now, 100 as usual and 0
    where it is not told.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = 0


def parse_load(text: str | None) -> TargetLoad | None:
    """Read running, waiting, slots and, if there, the pace; None if not.

    >>> parse_load('3,0,8,250')
    TargetLoad(running=3, waiting=0, slots=8, pace_percent=250)
    >>> parse_load('3,x') is None
    True
    """
    parts = (text or '').split(',')
    if len(parts) < 3:
        return None
    numbers = [part.strip() for part in parts[:4]]
    if not all(n.isascii() and n.isdigit() for n in numbers):
        return None
    return TargetLoad(*(int(number) for number in numbers))


DIALECTS: Registry[Dialect] = Registry('dialect')

DEFAULT_DIALECT = DIALECTS.register('default')(
    Dialect(
        call_id='cyclamenlift-call-id',
        time_left_ms='cyclamenlift-timeout-ms',
        depth='cyclamenlift-depth',
        caller_service='cyclamenlift-caller-service',
        client_account='authorization',
    )
)
