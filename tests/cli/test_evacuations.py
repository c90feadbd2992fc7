"""``evacuate``: orders are based on the state that was read first."""

from cyclamenlift.core.codes import ResultCode
from tests.cli.builders import AdminServer

RECORD = {
    'data_centre': 'bole',
    'evacuated': True,
    'revision': 3,
    'stamp_unix_ms': 1_790_000_000_000,
    'operator_name': 'op',
}
STATE = {'code': 1000, 'revision': 3, 'confirmed': True, 'evacuated': [RECORD]}
ACCEPTED = {'code': 5000, 'version': 4, 'current_version': 4}


# Guards against an order that doesn't say which state it is based on.
def test_an_order_names_the_state_that_was_read(command):
    server = AdminServer(STATE, ACCEPTED)
    status, out, _ = command(
        'evacuate', 'start', 'yeka', f'--console={server.address}'
    )
    server.close()
    assert status == 0
    assert 'yeka is evacuated (revision 4)' in out
    assert server.requests[0] == ('GET', '/api/evacuations', None)
    method, path, body = server.requests[1]
    assert (method, path) == ('POST', '/api/evacuate')
    assert body['base_revision'] == 3
    assert (body['data_centre'], body['evacuated']) == ('yeka', True)


# Guards against a refused order that looks like an accepted one.
def test_a_refused_order_fails(command):
    code = int(ResultCode.DATA_CENTRE_UNKNOWN)
    server = AdminServer(STATE, {'code': code, 'detail': 'yeko'})
    status, _, err = command(
        'evacuate', 'end', 'yeko', f'--console={server.address}'
    )
    server.close()
    assert status == 1
    assert str(code) in err


# Guards against a list without the data centres that are evacuated.
def test_the_list_names_data_centres_and_operators(command):
    server = AdminServer(STATE)
    status, out, _ = command('evacuate', 'list', f'--console={server.address}')
    server.close()
    assert status == 0
    assert 'bole' in out and 'op' in out
