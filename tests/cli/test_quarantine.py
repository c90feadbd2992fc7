"""``quarantine``: listing quarantined requests and lifting one."""

from tests.cli.builders import AdminServer

ROW = {
    'fingerprint': 'ab' * 12,
    'service': 'prices',
    'standing': 'quarantined',
    'seconds_left': 29.5,
    'reports': ['t1/i-1/7/0', 't2/i-2/8/0'],
}


def test_list_shows_the_reported_target_ends(command):
    server = AdminServer({'requests': [ROW]})
    status, out, _ = command('quarantine', f'--addresses={server.address}')
    server.close()
    assert status == 0
    assert 't2/i-2/8/0' in out
    assert server.requests == [('GET', '/api/quarantine', None)]


def test_lift_is_sent_to_the_first_daemon_that_responds(command):
    server = AdminServer({'requests': []})
    status, _, err = command(
        'quarantine',
        f'--addresses=127.0.0.1:1,{server.address}',
        f'--lift={ROW["fingerprint"]}',
    )
    server.close()
    assert status == 0
    assert '6003' in err
    order = {'fingerprints': [ROW['fingerprint']]}
    assert server.requests == [('POST', '/api/quarantine', order)]


def test_no_response_from_any_daemon_is_a_failure(command):
    status, _, err = command('quarantine', '--addresses=127.0.0.1:1')
    assert status == 1
    assert '6003' in err
