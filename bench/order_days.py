"""Write days with a change every 0.7 s beside trouble of control.

A day has one trouble of control that lasts 7 to 14 s, and there are two of
each: one on which all answers arrive and one on which six in ten answers to
the operator are lost. When the trouble begins and how long it lasts is drawn
from the seed, the same for all troubles, so that days of one seed compare.
Zones, mixes and shapes of the requests are those of the site file::

    python -m bench.order_days SITE FOLDER --seeds 1,2,3
    python -m bench.order_days SITE FOLDER --seeds 4 --troubles two-dark

Requests are few, so that a day plays in a minute or two as a small twin;
``--full`` leaves the site's own. The days are written to
``FOLDER/TROUBLE-SEED.toml`` and ``FOLDER/TROUBLE-lost-SEED.toml``.
"""

import json
import pathlib
import random
import tomllib

import fire

# What a change alters; half of them leave all as it is.
CHANGES = ('idle', 'weights', 'idle', 'route')
FIRST_CHANGE = 0.5
CHANGE_SECONDS = 0.7
# Seconds at the end of a day in which no change is sent.
QUIET_SECONDS = 2.0
SHORTEST_TROUBLE = 7.0
LONGEST_TROUBLE = 14.0
FIRST_START = 3.5
LAST_START = 5.0
LOST_SHARE = 0.6
# Answers are lost from this long before the trouble until after it.
LOST_BEFORE = 1.0
LOST_AFTER = 5.0
FEW_PER_SECOND = 20.0
FEW_CLIENTS = 40

# A leader is told by what it sends to control ('renewed'), not by its answers
# to operators ('leader'): those may be any instance's. 'one-wiped' strikes the
# one that answered, whatever its role.
TROUBLES = {
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
# Kinds of trouble that strike control only when they are told to.
NEED_PLACE = ('node_kill', 'node_freeze')


def to_toml(value: object) -> str:
    """Return a value as TOML in one line.

    >>> to_toml({'at': 4.0, 'how': 'power', 'zones': ['a', 'b']})
    '{ at = 4.0, how = "power", zones = ["a", "b"] }'
    """
    if isinstance(value, dict):
        pairs = (f'{key(k)} = {to_toml(v)}' for k, v in value.items())
        return '{ ' + ', '.join(pairs) + ' }'
    if isinstance(value, list):
        return '[' + ', '.join(to_toml(v) for v in value) + ']'
    return json.dumps(value)


def key(name: str) -> str:
    """Return a key as TOML writes it, in quotes where it has to be.

    >>> key('per_s'), key('price lookup')
    ('per_s', '"price lookup"')
    """
    plain = name.replace('_', '').replace('-', '')
    if plain.isascii() and plain.isalnum():
        return name
    return json.dumps(name)


def rows(items: list[dict]) -> str:
    """Return a list of tables with a line each."""
    return '[\n' + ''.join(f'  {to_toml(i)},\n' for i in items) + ']'


def few(traffic: list[dict]) -> list[dict]:
    """Return the same traffic with few requests and clients."""
    most = max(float(t['per_s']) for t in traffic)
    part = min(1.0, FEW_PER_SECOND / most)
    return [
        t
        | {
            'per_s': round(t['per_s'] * part, 2),
            'clients': min(FEW_CLIENTS, t['clients']),
        }
        for t in traffic
    ]


def changes(length: float) -> list[dict]:
    """Return the changes of a day of ``length`` seconds."""
    count = int((length - QUIET_SECONDS - FIRST_CHANGE) / CHANGE_SECONDS) + 1
    return [
        {
            'at': round(FIRST_CHANGE + CHANGE_SECONDS * number, 2),
            'kind': 'config_change',
            'how': CHANGES[number % len(CHANGES)],
        }
        for number in range(count)
    ]


def faults(trouble: str, seed: int, lost: bool) -> list[dict]:
    """Return the trouble of a day, and its lost answers."""
    draw = random.Random(seed)
    start = round(draw.uniform(FIRST_START, LAST_START), 2)
    lasts = round(draw.uniform(SHORTEST_TROUBLE, LONGEST_TROUBLE), 2)
    entry = {'at': start, **TROUBLES[trouble], 'for_s': lasts}
    if entry['kind'] in NEED_PLACE:
        entry['on'] = 'core'
    if not lost:
        return [entry]
    loss = {
        'at': round(start - LOST_BEFORE, 2),
        'kind': 'ack_lost',
        'for_s': round(LOST_BEFORE + lasts + LOST_AFTER, 2),
        'x': LOST_SHARE,
    }
    return [entry, loss]


def day(site: dict, trouble: str, seed: int, lost: bool, full: bool) -> str:
    """Return one day of a site as the text of its file."""
    traffic = site['traffic'] if full else few(site['traffic'])
    parts = (
        f'name = "{day_name(trouble, lost)}"',
        f'seed = {seed}',
        f'plan = {rows(changes(site["length_s"]))}',
        f'faults = {rows(faults(trouble, seed, lost))}',
        f'traffic = {rows(traffic)}',
    )
    return '\n'.join(parts) + '\n'


def day_name(trouble: str, lost: bool) -> str:
    return f'{trouble}-lost' if lost else trouble


def listed(value: object) -> list[str]:
    """Return what a command line gave with commas, or one value, as a list.

    >>> listed((1, 2)), listed('a,b'), listed(7)
    (['1', '2'], ['a', 'b'], ['7'])
    """
    if isinstance(value, (list, tuple)):
        return [str(v) for v in value]
    return str(value).split(',')


def main(
    site: str,
    folder: str,
    seeds: str = '1',
    troubles: str = ','.join(TROUBLES),
    full: bool = False,
) -> None:
    """Write days of a site, and print the names of their files.

    Args:
        site: Site file that the days are for.
        folder: Where the days go; made if it is missing.
        seeds: Seeds with commas between.
        troubles: Troubles of control with commas between.
        full: Leave the number of requests as the site has it.
    """
    read = tomllib.loads(pathlib.Path(site).read_text())
    out = pathlib.Path(folder)
    out.mkdir(parents=True, exist_ok=True)
    for seed in listed(seeds):
        for trouble in listed(troubles):
            for lost in (False, True):
                path = out / f'{day_name(trouble, lost)}-{seed}.toml'
                path.write_text(day(read, trouble, int(seed), lost, full))
                print(path)


if __name__ == '__main__':
    fire.Fire(main)
