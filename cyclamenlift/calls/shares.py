"""Which service of a route gets the next request."""

import random

from cyclamenlift.models.rules import RouteRule


class ShareTurns:
    """Keeps the shares of each route, request by request.

    Each service earns its weight with each request; the one that has
    earned most gets the request and pays the sum of the weights. So any
    run of requests is split as exactly as whole requests allow, which
    random draws are not. The start is random, or entries that see few
    requests each would all begin with the same service.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.earned: dict[str, dict[str, float]] = {}

    def next_service(self, route: RouteRule) -> str:
        """Return the service of the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        earned = self.earned.get(route.name)
        names = {share.service for share in route.shares}
        if earned is None or set(earned) != names:
            earned = self.first_turns(route)
            self.earned[route.name] = earned
        total = 0
        for share in route.shares:
            earned[share.service] += share.weight
            total += share.weight
        weighty = [s.service for s in route.shares if s.weight]
        best = max(weighty, key=earned.__getitem__)
        earned[best] -= total
        return best

    def first_turns(self, route: RouteRule) -> dict[str, float]:
        """Return a random point in the cycle of turns."""
        return {
            share.service: share.weight * self.rng.random()
            for share in route.shares
        }

    def keep_only(self, names: set[str]) -> None:
        """Forget the routes that are gone."""
        self.earned = {n: e for n, e in self.earned.items() if n in names}
