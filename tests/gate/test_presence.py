"""A gate whose target is gone takes no calls until somebody is there again.

The load: two of ten targets of a service end for good while the others get
more than they can do, so entries ask every gate that is left. Each of the
two gates took 14 calls a second, among them uploads of 60 KB over links of
4.3 Mbit/s, and sent them back when no connection could be had: up to 0.8 s
later, for an objective of 0.64 s.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from tests.gate.builders import GateBench


@pytest.fixture
def bench():
    return GateBench(can_ask=False)


def leave(bench: GateBench) -> None:
    """Let a connection to the target be refused."""
    bench.gate.ends.note_nobody_listens()


def codes(bench: GateBench) -> list[int]:
    return [told.code for told in bench.told]


def test_calls_are_refused_at_once_while_nobody_listens(bench):
    """Guards against calls let in to a target that is known to be gone."""
    leave(bench)
    bench.call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]
    assert bench.target.requests == []
