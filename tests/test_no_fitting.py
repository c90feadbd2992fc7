"""Decision logic must not depend on a particular deployment.

A rule that contains the name of a user's deployment, service, data centre or
scenario is overfitted to it.
"""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parents[1] / 'cyclamenlift'
DECIDING = (
    'calls',
    'core',
    'events',
    'gate',
    'http',
    'membership',
    'platform',
    'replication',
    'routing',
    'runtime',
    'wire',
)
NAMES = (
    # deployments
    'awkwa',
    'tlw-mart',
    'villacres',
    # services
    'pricebook',
    'surveydesk',
    'quotehouse',
    'billing',
    'carta',
    'pedidos',
    'rutas',
    # data centres
    'kirkos',
    'yeka',
    'hall-[a-d]',
    'quito',
    'cumbaya',
    'carapungo',
    # request types and scenarios
    'price-lookup',
    'menu-lookup',
    'order-place',
    'stop-list',
    'trouble-[0-9]',
    'scale-[0-9]',
    'quiet-[0-9]',
)
NAME = re.compile('|'.join(NAMES), re.IGNORECASE)


def sources() -> list[pathlib.Path]:
    found = [p for part in DECIDING for p in (PACKAGE / part).rglob('*.py')]
    return sorted(p for p in found if 'gen' not in p.parts)


@pytest.mark.parametrize(
    'path', sources(), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_no_rule_contains_a_name_from_a_deployment(path):
    assert NAME.findall(path.read_text()) == []
