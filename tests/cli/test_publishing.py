"""Publishing despite lost responses and leader changes."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.cli.publishing import LeaderCall
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from tests.cli.builders import write_document

CONSOLES = [Address('127.0.0.1', port) for port in (1, 2, 3)]
NAMES = 'abc'
ACCEPTED = 5000
CONFLICT = 5001
NOT_LEADER = 5004
UNKNOWN = 5005
LOST = 'RemoteDisconnected: gone'
REFUSED = 'ConnectionRefusedError: no'


class Clock:
    def __init__(self):
        self.seconds_now = 0.0

    def now(self) -> float:
        return self.seconds_now

    def sleep(self, seconds) -> None:
        self.seconds_now += seconds


class Instances:
    """Scripted consoles.

    Each step is a result code and a leader hint, or the text of a failure.
    """

    def __init__(self, script):
        self.script = script
        self.called = []
        self.bodies = []

    def send(self, address, _method, _path, body):
        step = self.script[min(len(self.called), len(self.script) - 1)]
        name = NAMES[CONSOLES.index(address)]
        self.called.append(name)
        self.bodies.append(body)
        if isinstance(step, str):
            code = ResultCode.INSTANCE_UNREACHABLE
            return Failure(Problem(code, step, str(address)))
        code, hint = step
        value = {'code': code, 'instance': name, 'leader': hint}
        return Success(AdminResponse(address, 200, value))


CASES = {
    'the leader answers': ([(ACCEPTED, '')], 'a', ACCEPTED),
    'a lost answer is asked for again': (
        [LOST, (ACCEPTED, '')],
        'ab',
        ACCEPTED,
    ),
    'a hint to an unknown name goes round': (
        [(NOT_LEADER, 'c'), (NOT_LEADER, 'c'), (ACCEPTED, '')],
        'abc',
        ACCEPTED,
    ),
    'a hint to a known name is followed': (
        [(NOT_LEADER, ''), (NOT_LEADER, 'a'), (ACCEPTED, '')],
        'aba',
        ACCEPTED,
    ),
    'an unknown outcome is asked for again': (
        [(UNKNOWN, ''), (CONFLICT, '')],
        'ab',
        CONFLICT,
    ),
    'a conflict is final': ([(CONFLICT, '')], 'a', CONFLICT),
    'an instance that is down is passed over': (
        [REFUSED, REFUSED, (ACCEPTED, '')],
        'abc',
        ACCEPTED,
    ),
}


@pytest.mark.parametrize('script, called, code', CASES.values(), ids=CASES)
def test_publish_follows_the_leader(script, called, code):
    instances = Instances(script)
    call = LeaderCall(CONSOLES, instances.send, Clock(), '')
    result = call.post('/p', {'change_id': 'x'}, 10.0)
    assert ''.join(instances.called) == called
    assert result.unwrap().code == code
    assert {body['change_id'] for body in instances.bodies} == {'x'}


@pytest.mark.parametrize(
    'script, code',
    [
        ([LOST], UNKNOWN),
        ([LOST, REFUSED], UNKNOWN),
        ([(UNKNOWN, ''), (NOT_LEADER, '')], UNKNOWN),
        ([(NOT_LEADER, '')], NOT_LEADER),
        ([REFUSED], ResultCode.INSTANCE_UNREACHABLE),
    ],
)
def test_outcome_at_the_deadline_is_unknown_if_any_attempt_may_have_run(
    script, code
):
    clock = Clock()
    call = LeaderCall(CONSOLES, Instances(script).send, clock, 'again')
    problem = call.post('/p', {'change_id': 'x'}, 2.0).failure()
    assert problem.code == code
    assert clock.now() == pytest.approx(2.0, abs=0.3)
    if code == UNKNOWN:
        assert problem.advice() == 'again'


def test_the_command_resends_one_change_id(
    command,
    admin,
    tmp_path,
):
    accepted = {'code': ACCEPTED, 'version': 4, 'instance': 'a'}
    server = admin(None, accepted)
    path = write_document(tmp_path)
    flags = ['--base', '3', '--console', server.address]
    status, out, _ = command('event', 'publish', path, *flags)
    assert status == 0
    assert 'version 4 accepted' in out
    first, second = server.requests
    assert first == second
    assert first[2]['change_id'] in out


def test_lost_response_prints_how_to_retry_with_the_change_id(
    command, admin, tmp_path
):
    server = admin(None)
    path = write_document(tmp_path)
    flags = ['--base', '3', '--change-id', 'x7', '--wait-seconds', '0']
    status, _, err = command(
        'event', 'publish', path, '--console', server.address, *flags
    )
    assert status == 1
    assert err.startswith('5005')
    assert '--change-id x7' in err


@pytest.mark.parametrize(
    'role, reported, code, expected',
    [
        ('leader', 'new', 5006, 0),
        ('leader', 'new', 5007, 1),
        ('leader', 'old', 5006, 1),
        ('follower', 'new', 5006, 1),
    ],
)
def test_replacing_a_storage(command, admin, role, reported, code, expected):
    item = {'instance': 'b', 'storage_id': reported, 'voter_storage_id': 'old'}
    replica = {'role': role, 'instances': [item]}
    server = admin({'replica': replica}, {'code': code, 'detail': 'why'})
    flags = ['--console', server.address]
    status, _, err = command('replace-storage', 'b', *flags)
    assert status == expected
    assert bool(err) == bool(expected)
    if role == 'leader' and reported == 'new':
        order = {'instance': 'b', 'storage_id': 'new'}
        assert server.requests[1][1:] == ('/api/replace-storage', order)


def test_a_conflict_names_the_current_version(
    command,
    admin,
    tmp_path,
):
    server = admin({'code': CONFLICT, 'current_version': 9})
    path = write_document(tmp_path)
    flags = ['--base', '3', '--console', server.address]
    status, out, err = command('event', 'publish', path, *flags)
    assert status == 1
    assert err.startswith('5001')
    assert 'current version 9' in out
