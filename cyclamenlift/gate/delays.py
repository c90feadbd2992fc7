"""How long calls are on their way from an entry to this gate.

The load that this answers: where bodies fill a slow link, what comes behind
them waits in the network for up to seconds. A call carries the time that it
had left when it was sent, so that a gate that took it as still left would
run calls whose callers have given up, and tell targets too much time.

The clocks of two machines are not compared: each call tells when it was
sent on its sender's clock, and what counts is how much later than the
quickest call of the same connection it came. So a delay that was there from
the first call on is not seen, and none is seen that is not there. The clock
is the one that goes on while a machine is suspended.
"""

from collections.abc import Hashable
import dataclasses

# How far two clocks may drift apart, in seconds for each second: twice what
# usual crystals do. The quickest way is taken to get longer by as much.
DRIFT = 0.0002


@dataclasses.dataclass(slots=True)
class Way:
    """The way of one connection; instants are on the gate's clock.

    ``quickest`` is the least difference of the two clocks that was seen,
    at ``quickest_at``; ``lag`` how much more the last call took.
    """

    quickest: float
    quickest_at: float
    lag: float = 0.0
    lag_at: float = 0.0


class Delays:
    """The ways of all connections to a gate, by the number of the link."""

    def __init__(self) -> None:
        self.ways: dict[Hashable, Way] = {}

    def note(self, link: Hashable, sent_at: float, now: float) -> float:
        """Take a call in; return the seconds it came late.

        >>> delays = Delays()
        >>> delays.note(1, 100.0, 7.0), round(delays.note(1, 101.0, 8.5), 2)
        (0.0, 0.5)
        """
        difference = now - sent_at
        way = self.ways.get(link)
        if way is None:
            way = self.ways[link] = Way(difference, now)
        drifted = way.quickest + DRIFT * (now - way.quickest_at)
        if difference <= drifted:
            way.quickest = difference
            way.quickest_at = now
            drifted = difference
        way.lag = difference - drifted
        way.lag_at = now
        return way.lag

    def lag(self, link: Hashable, now: float) -> float:
        """Return the lag now, if what waits has been coming in since.

        >>> delays = Delays()
        >>> _ = delays.note(1, 100.0, 7.0), delays.note(1, 101.0, 8.5)
        >>> round(delays.lag(1, 8.7), 2), delays.lag(1, 9.5)
        (0.3, 0.0)
        """
        way = self.ways.get(link)
        if way is None:
            return 0.0
        return max(0.0, way.lag - (now - way.lag_at))

    def forget(self, link: Hashable) -> None:
        """Drop what is known of a connection that is gone."""
        self.ways.pop(link, None)
