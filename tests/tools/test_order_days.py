"""Generated days with control faults: complete, bounded, repeatable."""

import tomllib

from bench.order_days import build_day
from bench.order_days import CONTROL_FAULTS
from bench.order_days import main

SITE = {
    'length_s': 30.0,
    'traffic': [
        {
            'zone': 'north',
            'mix': {'look-up': 5.8, 'sale': 0.5},
            'per_s': 400.0,
            'clients': 900,
            'shape': {'kind': 'wave', 'swing': 0.15},
        },
        {
            'zone': 'south',
            'mix': {'look-up': 1.0},
            'per_s': 100.0,
            'clients': 12,
            'shape': {'kind': 'wave', 'swing': 0.1},
        },
    ],
}


def generate(
    fault_name: str, seed: int, lost: bool, full: bool = False
) -> dict:
    return tomllib.loads(build_day(SITE, fault_name, seed, lost, full))


def test_a_change_is_sent_every_seven_tenths_of_a_second():
    times = [
        entry['at'] for entry in generate('two-dark', 1, lost=True)['plan']
    ]
    assert times[0] == 0.5
    assert 27.3 < times[-1] <= 28.0
    gaps = {round(b - a, 2) for a, b in zip(times, times[1:])}
    assert gaps == {0.7}


def test_each_fault_lasts_seven_to_fourteen_seconds():
    for fault_name in CONTROL_FAULTS:
        for seed in range(30):
            (fault,) = generate(fault_name, seed, lost=False)['faults']
            assert 7.0 <= fault['for_s'] <= 14.0
            assert fault['at'] + fault['for_s'] < 20.0


def test_answers_are_lost_from_before_the_fault_until_after_it():
    for fault_name in CONTROL_FAULTS:
        fault, loss = generate(fault_name, 5, lost=True)['faults']
        assert loss['kind'] == 'ack_lost'
        assert loss['at'] < fault['at']
        assert loss['at'] + loss['for_s'] > fault['at'] + fault['for_s'] + 3


def test_every_fault_hits_control():
    for fault_name in CONTROL_FAULTS:
        (fault,) = generate(fault_name, 1, lost=False)['faults']
        hits_control = fault['kind'] in ('core_cut', 'after_ack_wipe')
        assert hits_control or fault['on'] == 'core'


def test_no_leader_is_identified_by_its_answers_to_operators():
    for fault_name in CONTROL_FAULTS:
        (fault,) = generate(fault_name, 1, lost=False)['faults']
        assert 'leader' not in fault.get('how', '').split()


def test_the_fault_depends_on_the_seed_alone():
    assert generate('split', 3, lost=True) == generate('split', 3, lost=True)
    first = generate('split', 3, lost=False)['faults'][0]
    assert generate('split', 4, lost=False)['faults'][0] != first
    assert generate('split', 3, lost=True)['faults'][0] == first


def test_traffic_is_reduced_and_keeps_its_shape():
    north, south = generate('two-dark', 1, lost=True)['traffic']
    assert (north['per_s'], south['per_s']) == (20.0, 5.0)
    assert (north['clients'], south['clients']) == (40, 12)
    assert north['mix'] == SITE['traffic'][0]['mix']
    assert north['shape'] == SITE['traffic'][0]['shape']
    full = generate('two-dark', 1, lost=True, full=True)
    assert full['traffic'] == SITE['traffic']


def test_a_site_gets_two_days_for_each_fault_and_seed(tmp_path):
    site = tmp_path / 'site.toml'
    site.write_text(
        'length_s = 32.0\n'
        'traffic = [{ zone = "a", mix = { b = 1.0 }, per_s = 3.0, '
        'clients = 5 }]\n'
    )
    main(str(site), str(tmp_path / 'days'), seeds=(8, 9))
    found = sorted((tmp_path / 'days').iterdir())
    assert len(found) == 2 * 2 * len(CONTROL_FAULTS)
    names = {tomllib.loads(path.read_text())['name'] for path in found}
    assert len(names) == 2 * len(CONTROL_FAULTS)
