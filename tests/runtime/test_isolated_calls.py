"""What one caller or target sends changes the outcome of no other call.

Guards against an error in the handling of one call that ends the link to a
gate, and with it the calls of all other callers.
"""

import socket
import threading

import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenlift.calls.call import Call
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.gate_call import GateCall
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import ScriptedTarget
from tests.runtime.builders import WAIT_SECONDS

BYSTANDER = b'of the bystander'
TOKEN = "!#$%&'*+.^_`|~0123456789abcXYZ-"


class Bed:
    """An entry and a gate, with a call of a bystander that is running."""

    def __init__(self, *scripts):
        self.may_answer = threading.Event()
        self.target = ScriptedTarget(
            self.answer_bystander, *(scripts or [answer()])
        )
        self.path = CallPathHarness(self.target.address)
        self.bystander = self.path.send('GET', '/bystander')
        self.path.run_until(lambda: self.target.requests)

    def answer_bystander(self, conn, request: bytes) -> None:
        """Answer once the odd call is over."""
        self.may_answer.wait(WAIT_SECONDS)
        answer(BYSTANDER)(conn, request)

    def check(self) -> None:
        """The bystander gets its answer, and the link is still there."""
        self.may_answer.set()
        assert self.path.receive(self.bystander).body == BYSTANDER
        assert self.path.ask('GET', '/after').status == 200

    def close(self) -> None:
        self.may_answer.set()
        self.path.close()
        self.target.close()


@pytest.fixture
def make_bed():
    made = []

    def make(*scripts) -> Bed:
        made.append(Bed(*scripts))
        return made[-1]

    yield make
    for bed in made:
        bed.close()


# Guards against a method that is a token, and that closes the link.
@pytest.mark.parametrize('method', ['M-SEARCH', 'MKACTIVITY', 'PROPFIND'])
def test_a_method_with_a_hyphen_touches_no_other_call(make_bed, method):
    bed = make_bed()
    found = bed.path.ask(method, '/odd', Idempotency_Key='k')
    assert (found.status, found.result) == (200, ResultCode.ANSWERED)
    assert bed.target.requests[1].startswith(method.encode())
    bed.check()


# Guards against a method that is not known here and gets no numbered answer.
def test_an_unknown_method_is_answered_with_501(make_bed):
    bed = make_bed()
    found = bed.path.ask('FOO!', '/odd')
    assert found.status == 501
    assert found.result == ResultCode.METHOD_UNKNOWN
    bed.check()


def raise_planted(*_arguments) -> None:
    raise RuntimeError('planted')


# Guards against any error in a step of a call at the gate.
@pytest.mark.parametrize(
    ('step', 'result'),
    [
        ('request', ResultCode.GATE_FAILED),
        ('call_headers', ResultCode.GATE_FAILED),
        ('note_work', ResultCode.TARGET_BROKE_OFF),
        ('head', ResultCode.TARGET_BROKE_OFF),
    ],
)
def test_an_error_of_the_gate_ends_one_call(
    make_bed, monkeypatch, step, result
):
    bed = make_bed()
    gate = bed.path.gates[0]
    owner = gate if step == 'call_headers' else GateCall
    if step == 'note_work':
        owner, step = gate.termination, 'note_answer'
    with monkeypatch.context() as planted:
        planted.setattr(owner, step, raise_planted)
        found = bed.path.ask('POST', '/odd', b'{}', Idempotency_Key='k')
    assert found.result == result
    assert gate.failed_calls > 0
    assert not gate.state.running or len(gate.state.running) == 1
    bed.check()
    assert gate.is_idle()


# Guards against any error in a step of a call at the entry.
def test_an_error_of_the_entry_ends_one_call(make_bed, monkeypatch):
    bed = make_bed()
    with monkeypatch.context() as planted:
        planted.setattr(Call, 'on_answer_start', raise_planted)
        found = bed.path.ask('POST', '/odd', b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.BAD_TARGET_ANSWER
    assert bed.path.calls.failed_calls == 1
    bed.check()
    assert bed.path.calls.is_idle()


FIELD_VALUES = st.text(
    st.characters(min_codepoint=32, max_codepoint=255), max_size=40
)
FIELD_NAMES = st.text(TOKEN, min_size=1, max_size=12).filter(
    lambda name: name.lower() not in ('host', 'content-length', 'connection')
)


@hypothesis.example('M-SEARCH', 'a', {}, b'', {})
@hypothesis.example('GET', 'a', {}, b'', {'x': '\x7f'})
@hypothesis.settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    method=st.sampled_from(['GET', 'PUT', 'POST', 'M-SEARCH', 'LINK'])
    | st.text(TOKEN, min_size=1, max_size=10),
    path=st.text(st.characters(min_codepoint=33, max_codepoint=255)),
    fields=st.dictionaries(FIELD_NAMES, FIELD_VALUES, max_size=3),
    body=st.binary(max_size=200),
    says=st.dictionaries(FIELD_NAMES, FIELD_VALUES, max_size=3),
)
def test_whatever_one_caller_and_target_send_touches_no_other_call(
    method, path, fields, body, says
):
    # Guards against made-up requests and answers that end the link.
    extra = ''.join(f'{name}: {value}\r\n' for name, value in says.items())
    odd_answer = answer(extra=extra.encode('latin-1'))

    def script(conn, request: bytes) -> None:
        is_last = request.startswith(b'GET /after ')
        (answer() if is_last else odd_answer)(conn, request)

    bed = Bed(script)
    try:
        head = f'{method} /{path} HTTP/1.1\r\nHost: prices\r\n'
        head += 'Idempotency-Key: k\r\n'
        head += ''.join(f'{n}: {v}\r\n' for n, v in fields.items())
        head += f'Content-Length: {len(body)}\r\n\r\n'
        odd = socket.create_connection(tuple(bed.path.entry))
        odd.setblocking(False)
        bed.path.callers.append(odd)
        bed.path.push(odd, head.encode('latin-1') + body)
        bed.path.receive(odd)
        bed.check()
    finally:
        bed.close()
