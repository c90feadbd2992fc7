"""Command line: exit statuses, invalid usage, settings, documents."""

import json

import pytest

import cyclamenlift
from cyclamenlift.cli.program import MODULES
from cyclamenlift.cli.registry import COMMANDS
from tests.cli.builders import write_document

STATUS = {
    'code': 1000,
    'kind': 'control',
    'instance': 'a',
    'data_centre': 'bole',
    'version': 0,
    'replica': {
        'role': 'leader',
        'term': 3,
        'established': True,
        'instances': [
            {'instance': 'b', 'counts': False, 'caught_up': False},
            {
                'instance': 'c',
                'counts': True,
                'caught_up': False,
                'reachable': True,
            },
            {'instance': 'e', 'counts': True, 'caught_up': True},
        ],
    },
}
DAEMON = {'kind': 'daemon', 'instance': 'd', 'state': 'ready', 'version': 4}
DOCUMENT_REPORT = {
    'code': 1000,
    'version': 2,
    'confirmed': False,
    'document': '{"event":"morning"}',
}
VERSION_RECORD = {
    'version': 2,
    'base_version': 1,
    'stamp_unix_ms': 0,
    'operator_name': 'eden',
    'change_id': 'x1',
}


def test_every_command_has_a_module_and_a_line_of_help(command):
    status, out, _ = command()
    assert status == 0
    assert len(list(COMMANDS)) == len(MODULES)
    for name in COMMANDS:
        line = COMMANDS.get(name).__doc__.splitlines()[0]
        assert line.endswith('.')
        if ' ' not in name:
            assert line in out


def test_version(command):
    expected = cyclamenlift.__version__ + '\n'
    assert command('version') == (0, expected, '')


@pytest.mark.parametrize(
    'arguments',
    [
        ['nonsense'],
        ['event', 'publish'],
        ['event', 'publish', 'x.yaml'],
        ['event', 'publish', 'x.yaml', '--base', 'one'],
        ['event', 'publish', 'x.yaml', '--base', '-1'],
        ['event', 'show', '--version', 'x'],
        ['event', 'history', '--console', 'nowhere'],
        ['drain'],
        ['drain', '--addresses', 'x'],
        ['status', '--addresses', 'x:y'],
        ['version', '--loud'],
        ['check', 'gateway'],
        ['check', 'daemon'],
        ['daemon', '--instance', 'a', '--data-centre', 'b', '--slots', '0'],
        ['control', '--instance', 'a'],
    ],
)
def test_wrong_usage_exits_with_2_and_prints_the_reason(command, arguments):
    status, _, err = command(*arguments)
    assert status == 2
    assert err


@pytest.mark.parametrize('kind', ['daemon', 'control'])
def test_help_lists_every_setting(command, kind):
    status, out, _ = command(kind, '--help')
    assert status == 0
    assert '--peer-listen' in out


def test_check_lists_every_invalid_setting_at_once(
    command,
    monkeypatch,
):
    monkeypatch.setenv('CYCLAMENLIFT_SLOTZ', '5')
    monkeypatch.setenv('CYCLAMENLIFT_CONSOLE', '127.0.0.1:1')
    arguments = ['--instance', '!', '--slots', '0', '--service', 's']
    status, out, _ = command('check', 'daemon', '--json', *arguments)
    assert status == 2
    found = {(item['code'], item['setting']) for item in json.loads(out)}
    assert found == {
        (6000, 'instance'),
        (6001, 'data_centre'),
        (6000, 'slots'),
        (6000, 'CYCLAMENLIFT_SLOTZ'),
    }
    assert all(item['hint'] for item in json.loads(out))


@pytest.mark.parametrize(
    'arguments, status, words',
    [
        (['--peers', '007=1.1.1.1:7100'], 0, ['fine']),
        (['--peers', '7=1.1.1.1:7100'], 2, ["'007' is not in the list"]),
        (
            ['--peers', 'x', '--election-ms', '1'],
            2,
            ['not name=host:port', 'election_ms'],
        ),
        (
            [
                '--peers',
                '007=1.1.1.1:7100',
                '--admin-listen',
                '127.0.0.1:7100',
            ],
            2,
            ['the same address as peer_listen'],
        ),
    ],
)
def test_check_control(command, arguments, status, words):
    base = ['--instance', '007', '--data-centre', 'b', '--data', '/x']
    found, out, err = command('check', 'control', *base, *arguments)
    assert found == status
    for word in words:
        assert word in out + err


def test_validate(command, tmp_path):
    status, out, _ = command('event', 'validate', write_document(tmp_path))
    assert status == 0
    assert 'valid' in out


@pytest.mark.parametrize('name', ['validate', 'publish'])
def test_invalid_document_names_each_field(
    command,
    admin,
    tmp_path,
    name,
):
    server = admin({'code': 5000})
    path = write_document(
        tmp_path, event='No!', services=[{'name': 'p', 'max_tries': 99}]
    )
    flags = []
    if name == 'publish':
        flags = ['--base', '0', '--console', server.address]
    status, _, err = command('event', name, path, *flags)
    assert status == 1
    assert '5003 event:' in err
    assert '5003 services[0].max_tries:' in err
    assert server.requests == []


def test_missing_document_file_is_reported(command):
    status, _, err = command('event', 'validate', '/nowhere/x.yaml')
    assert status == 1
    assert err.startswith('6002 /nowhere/x.yaml')


def test_status_shows_repairs_and_unreachable_instances(command, admin):
    addresses = [admin(STATUS).address, admin(DAEMON).address, '127.0.0.1:1']
    flags = ['--addresses', ','.join(addresses)]
    status, out, err = command('status', *flags)
    assert status == 1
    assert 'leader, term 3; b: storage does not count' in out
    assert 'c: not caught up' in out
    assert 'e: not reachable' in out
    assert 'no answer' in out
    assert '6003 127.0.0.1:1' in err
    status, out, _ = command('status', *flags, '--json')
    assert [item.get('kind') for item in json.loads(out)] == [
        'control',
        'daemon',
        None,
    ]
    assert command('status', '--addresses', addresses[0])[0] == 0


def test_show_prefers_a_confirmed_response(command, admin):
    newer = {**DOCUMENT_REPORT, 'version': 3, 'confirmed': True}
    consoles = f'{admin(DOCUMENT_REPORT).address},{admin(newer).address}'
    status, out, _ = command('event', 'show', '--console', consoles)
    assert status == 0
    assert out == '# version 3\nevent: morning\n'


def test_show_marks_an_unconfirmed_document(command, admin):
    address = admin(DOCUMENT_REPORT).address
    _, out, _ = command('event', 'show', '--console', address)
    assert out.startswith('# version 2, not confirmed')


def test_show_of_a_missing_version_fails(command, admin):
    address = admin({'code': 4009}).address
    flags = ['--version', '7', '--console', address]
    assert command('event', 'show', *flags)[0] == 1


def test_history_is_a_table(command, admin):
    server = admin(
        {'code': 1000, 'confirmed': True, 'versions': [VERSION_RECORD]}
    )
    status, out, _ = command('event', 'history', '--console', server.address)
    assert status == 0
    for word in ('1970-01-01 00:00:00', 'eden', 'x1'):
        assert word in out


@pytest.mark.parametrize(
    'answer, status',
    [({'instance': 'd', 'state': 'draining'}, 0), (None, 1)],
)
def test_drain(command, admin, answer, status):
    server = admin(answer)
    assert command('drain', '--addresses', server.address)[0] == status
    assert server.requests[0][:2] == ('POST', '/drain')


def test_arguments_are_passed_as_strings(command, admin, tmp_path):
    server = admin({'code': 5000, 'version': 1})
    flags = ['--base', '0', '--change-id', '0070', '--operator', '1,2']
    status, _, _ = command(
        'event',
        'publish',
        write_document(tmp_path),
        *flags,
        '--console',
        server.address,
    )
    assert status == 0
    change = server.requests[0][2]
    assert change['change_id'] == '0070'
    assert change['operator_name'] == '1,2'
    assert change['base_version'] == 0
