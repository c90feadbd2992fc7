"""Generate simulated days with a change every 0.7 s during a control fault.

A day has one control fault that lasts 7 to 14 s. Each fault gets two days:
one on which all answers arrive and one on which six in ten answers to the
operator are lost. Start and duration of the fault are drawn from the seed
and equal for all faults, so that days of one seed are comparable. Zones,
mixes and shapes of the requests are those of the site file::

    python -m bench.order_days SITE FOLDER --seeds 1,2,3
    python -m bench.order_days SITE FOLDER --seeds 4 --troubles two-dark

The request rate is reduced, so that a day on the small twin of the site
takes a minute or two; ``--full`` keeps the rate of the site. The days are
written to ``FOLDER/TROUBLE-SEED.toml`` and
``FOLDER/TROUBLE-lost-SEED.toml``.
"""

import json
import pathlib
import random
import tomllib

import fire

# What each change modifies, in turn; every other one modifies nothing.
CHANGES = ('idle', 'weights', 'idle', 'route')
FIRST_CHANGE = 0.5
CHANGE_SECONDS = 0.7
# Seconds at the end of a day without changes.
QUIET_SECONDS = 2.0
MIN_FAULT_SECONDS = 7.0
MAX_FAULT_SECONDS = 14.0
FIRST_START = 3.5
LAST_START = 5.0
LOST_SHARE = 0.6
# Answers are lost from LOST_BEFORE seconds before the fault until
# LOST_AFTER seconds after it.
LOST_BEFORE = 1.0
LOST_AFTER = 5.0
MAX_PER_SECOND = 20.0
MAX_CLIENTS = 40

# The leader is identified by its messages to other control instances
# ('renewed'), not by its answers to operators ('leader'), which any instance
# may give. 'one-wiped' hits the instance that answered, whatever its role.
CONTROL_FAULTS = {
    'one-dark': {'kind': 'node_kill', 'count': 1, 'how': 'power'},
    'two-dark': {'kind': 'node_kill', 'count': 2, 'how': 'power'},
    'one-wiped': {'kind': 'after_ack_wipe'},
    'follower-wiped': {
        'kind': 'node_kill',
        'count': 1,
        'how': 'follower power wipe',
    },
    'one-frozen': {'kind': 'node_freeze', 'count': 1, 'how': 'follower'},
    'two-frozen': {'kind': 'node_freeze', 'count': 2, 'how': 'renewed'},
    'leader-frozen': {
        'kind': 'node_freeze',
        'count': 1,
        'how': 'renewed race hard',
    },
    'leader-cut': {'kind': 'core_cut', 'how': 'renewed race hard'},
    'two-cut': {
        'kind': 'core_cut',
        'count': 2,
        'how': 'reset race drain hard all',
    },
    'split': {'kind': 'core_cut', 'how': 'renewed race hard split lure'},
}
# Kinds of faults that hit control only if their entry says so.
KINDS_WITH_PLACE = ('node_kill', 'node_freeze')


def to_toml(value: object) -> str:
    """Return a value as inline TOML.

    >>> to_toml({'at': 4.0, 'how': 'power', 'zones': ['a', 'b']})
    '{ at = 4.0, how = "power", zones = ["a", "b"] }'
    """
    if isinstance(value, dict):
        pairs = (f'{format_key(k)} = {to_toml(v)}' for k, v in value.items())
        return '{ ' + ', '.join(pairs) + ' }'
    if isinstance(value, list):
        return '[' + ', '.join(to_toml(v) for v in value) + ']'
    return json.dumps(value)


def format_key(name: str) -> str:
    """Return a TOML key, quoted if necessary.

    >>> format_key('per_s'), format_key('price lookup')
    ('per_s', '"price lookup"')
    """
    bare = name.replace('_', '').replace('-', '')
    if bare.isascii() and bare.isalnum():
        return name
    return json.dumps(name)


def format_tables(items: list[dict]) -> str:
    """Return a TOML array of inline tables, one per line."""
    return '[\n' + ''.join(f'  {to_toml(i)},\n' for i in items) + ']'


def reduce_traffic(traffic: list[dict]) -> list[dict]:
    """Return the traffic with fewer requests and clients."""
    peak = max(float(t['per_s']) for t in traffic)
    factor = min(1.0, MAX_PER_SECOND / peak)
    return [
        t
        | {
            'per_s': round(t['per_s'] * factor, 2),
            'clients': min(MAX_CLIENTS, t['clients']),
        }
        for t in traffic
    ]


def build_changes(length: float) -> list[dict]:
    """Return the changes of a day that lasts ``length`` seconds."""
    count = int((length - QUIET_SECONDS - FIRST_CHANGE) / CHANGE_SECONDS) + 1
    return [
        {
            'at': round(FIRST_CHANGE + CHANGE_SECONDS * number, 2),
            'kind': 'config_change',
            'how': CHANGES[number % len(CHANGES)],
        }
        for number in range(count)
    ]


def build_faults(fault: str, seed: int, lost: bool) -> list[dict]:
    """Return the control fault of a day, and its loss of answers if any."""
    rng = random.Random(seed)
    start = round(rng.uniform(FIRST_START, LAST_START), 2)
    duration = round(rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 2)
    entry = {'at': start, **CONTROL_FAULTS[fault], 'for_s': duration}
    if entry['kind'] in KINDS_WITH_PLACE:
        entry['on'] = 'core'
    if not lost:
        return [entry]
    loss = {
        'at': round(start - LOST_BEFORE, 2),
        'kind': 'ack_lost',
        'for_s': round(LOST_BEFORE + duration + LOST_AFTER, 2),
        'x': LOST_SHARE,
    }
    return [entry, loss]


def build_day(
    site: dict, fault: str, seed: int, lost: bool, full: bool
) -> str:
    """Return the TOML text of one day of a site."""
    traffic = site['traffic'] if full else reduce_traffic(site['traffic'])
    parts = (
        f'name = "{day_name(fault, lost)}"',
        f'seed = {seed}',
        f'plan = {format_tables(build_changes(site["length_s"]))}',
        f'faults = {format_tables(build_faults(fault, seed, lost))}',
        f'traffic = {format_tables(traffic)}',
    )
    return '\n'.join(parts) + '\n'


def day_name(fault: str, lost: bool) -> str:
    return f'{fault}-lost' if lost else fault


def split_list(value: object) -> list[str]:
    """Return a command line value, split at commas by fire or not, as a list.

    >>> split_list((1, 2)), split_list('a,b'), split_list(7)
    (['1', '2'], ['a', 'b'], ['7'])
    """
    if isinstance(value, (list, tuple)):
        return [str(v) for v in value]
    return str(value).split(',')


def main(
    site: str,
    folder: str,
    seeds: str = '1',
    troubles: str = ','.join(CONTROL_FAULTS),
    full: bool = False,
) -> None:
    """Write the days of a site and print their paths.

    Args:
        site: Site file for which to generate days.
        folder: Output folder; created if missing.
        seeds: Seeds, separated by commas.
        troubles: Control faults, separated by commas.
        full: Keep the request rate of the site.
    """
    site_config = tomllib.loads(pathlib.Path(site).read_text())
    output = pathlib.Path(folder)
    output.mkdir(parents=True, exist_ok=True)
    for seed in split_list(seeds):
        for fault in split_list(troubles):
            for lost in (False, True):
                path = output / f'{day_name(fault, lost)}-{seed}.toml'
                path.write_text(
                    build_day(site_config, fault, int(seed), lost, full)
                )
                print(path)


if __name__ == '__main__':
    fire.Fire(main)
