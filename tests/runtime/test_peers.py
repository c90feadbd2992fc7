"""Parsing of the ``peers`` setting."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.core.streams import Address
from cyclamenlift.runtime.peers import parse_peers

A = 'a=127.0.0.1:7100'
B = 'b=127.0.0.1:7200'


def settings(peers: str) -> ControlSettings:
    return ControlSettings(
        instance='a', data_centre='bole', data='/nowhere', peers=peers
    )


def test_every_instance_is_found_by_name():
    found = parse_peers(settings(f'{A},{B}'))
    assert found == Success(
        {'a': Address('127.0.0.1', 7100), 'b': Address('127.0.0.1', 7200)}
    )


@pytest.mark.parametrize(
    'peers, details',
    [
        ('', ['not in the list']),
        (B, ['not in the list']),
        (f'{A},{A}', ['listed twice']),
        (f'{A},x:1', ['not name=host:port']),
        (f'{A},/=x:1,b=:5', ['not name=host:port', 'not name=host:port']),
        ('a=127.0.0.1:7,' + B, ['with port 7']),
        (f'{A},c=127.0.0.1:7100', ['same address']),
        (
            ','.join([A] + [f'n{i}=127.0.0.1:{i}' for i in range(1, 8)]),
            ['more than 7'],
        ),
    ],
)
def test_every_problem_is_returned(peers, details):
    found = parse_peers(settings(peers))
    assert isinstance(found, Failure)
    problems = found.failure()
    assert len(problems) == len(details)
    for problem, detail in zip(problems, details, strict=True):
        assert detail in problem.detail
        assert problem.where == 'peers'
