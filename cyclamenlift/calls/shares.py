"""Weighted distribution of a route's requests over its services."""

import random

from cyclamenlift.models.rules import RouteRule


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route.

    On each request every service earns its weight; the one with the highest
    balance gets the request and pays the sum of the weights. Any run of
    requests is thus split as exactly as whole requests allow, unlike with
    random draws. The initial balances are random: otherwise entries with few
    requests would all begin with the same service.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.balances: dict[str, dict[str, float]] = {}

    def next_service(self, route: RouteRule) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        balances = self.balances.get(route.name)
        names = {share.service for share in route.shares}
        if balances is None or set(balances) != names:
            balances = self.initial_balances(route)
            self.balances[route.name] = balances
        total = 0
        for share in route.shares:
            balances[share.service] += share.weight
            total += share.weight
        candidates = [s.service for s in route.shares if s.weight]
        best = max(candidates, key=balances.__getitem__)
        balances[best] -= total
        return best

    def initial_balances(self, route: RouteRule) -> dict[str, float]:
        """Return a random position in the round-robin cycle."""
        return {
            share.service: share.weight * self.rng.random()
            for share in route.shares
        }

    def keep_only(self, names: set[str]) -> None:
        """Drop all other routes."""
        self.balances = {n: e for n, e in self.balances.items() if n in names}
