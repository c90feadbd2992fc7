"""The platform's names occur only in the adapter, which stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / 'cyclamenlift'
ADAPTER = PACKAGE / 'platform'
MOST_LINES = 1_200
NAMES = re.compile(
    'attempt-id|deadline-ms|response-stamp|target-instance|not-executed'
    '|server-load|server-limit|server-leaving'
    '|instance-id|base-version|caller-service'
    '|virtual_hosts|path_rules|heartbeat_addr|target_latency'
    '|weighted_services|cold_left|cold_per_s|cold-ms|Evacuate\\.'
    '|Instances\\.Heartbeat|Config\\.Replace',
    re.IGNORECASE,
)
# Name of a header field in the default dialect.
OWN = 'cyclamenlift-caller-service'


def sources(folder: pathlib.Path) -> list[pathlib.Path]:
    return [p for p in folder.rglob('*.py') if 'gen' not in p.parts]


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f'{path.relative_to(ROOT)}: {match.group()}'
        for path in sources(PACKAGE)
        if ADAPTER not in path.parents
        for match in NAMES.finditer(path.read_text().replace(OWN, ''))
    ]
    assert not found


def test_the_adapter_stays_small():
    lines = sum(len(p.read_text().splitlines()) for p in sources(ADAPTER))
    assert lines <= MOST_LINES


def test_no_other_package_imports_the_adapter():
    users = [
        str(path.relative_to(ROOT))
        for path in sources(PACKAGE)
        if ADAPTER not in path.parents
        and 'cyclamenlift.platform' in path.read_text()
    ]
    assert not users
