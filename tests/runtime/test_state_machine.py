"""The replicated state machine of a control instance."""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.state import PublishOutcome
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.gen.protocol import ttypes
from tests.events.builders import document
from tests.ledger.builders import START

PUBLISH = ttypes.Command(
    publish=ttypes.PublishCommand('x', 0, document(), 'eden')
)
CLAIM = ttypes.Command(
    claim=ttypes.ClaimRequest(7, 'booking', 'k', 'a', 500, 0, b'f')
)
END = ttypes.Command(
    claim_end=ttypes.ClaimEnd(
        8, 'booking', 'k', 'a', ttypes.ClaimEnding.UNKNOWN
    )
)


def run(machine: ControlStateMachine, command: ttypes.Command) -> bytes:
    return machine.apply(1, START, encode_struct(command))


def test_claim_is_evaluated_against_the_preceding_document():
    machine = ControlStateMachine()
    before = decode_struct(ttypes.ClaimAnswer, run(machine, CLAIM))
    assert before.code == ResultCode.NO_CONFIGURATION
    outcome = PublishOutcome.from_json(run(machine, PUBLISH))
    assert outcome.version == 1
    after = decode_struct(ttypes.ClaimAnswer, run(machine, CLAIM))
    assert (after.request_id, after.verdict) == (
        7,
        ttypes.ClaimVerdict.GRANTED,
    )
    ended = decode_struct(ttypes.ClaimEndAnswer, run(machine, END))
    assert ended.committed


def test_snapshot_restores_documents_and_ledger():
    machine = ControlStateMachine()
    run(machine, PUBLISH)
    run(machine, CLAIM)
    run(machine, END)
    fresh = ControlStateMachine()
    versions = []
    fresh.subscribe_version(versions.append)
    fresh.restore(machine.snapshot())
    assert versions == [1]
    assert fresh.snapshot() == machine.snapshot()
    again = decode_struct(ttypes.ClaimAnswer, run(fresh, CLAIM))
    assert again.verdict == ttypes.ClaimVerdict.UNKNOWN


@pytest.mark.parametrize(
    'command',
    [
        b'',
        b'\xff' * 40,
        encode_struct(ttypes.Command()),
        encode_struct(ttypes.Command(claim_end=ttypes.ClaimEnd())),
        encode_struct(
            ttypes.Command(
                replace_storage=ttypes.ReplaceStorageCommand('b', 's')
            )
        ),
    ],
)
def test_unknown_commands_change_nothing(command):
    machine = ControlStateMachine()
    run(machine, PUBLISH)
    before = machine.snapshot()
    assert machine.apply(2, START, command) == b''
    assert machine.snapshot() == before


def test_empty_messages_are_refused():
    machine = ControlStateMachine()
    claim = run(machine, ttypes.Command(claim=ttypes.ClaimRequest()))
    assert (
        decode_struct(ttypes.ClaimAnswer, claim).verdict
        == ttypes.ClaimVerdict.REFUSED
    )
    publish = run(machine, ttypes.Command(publish=ttypes.PublishCommand()))
    code = PublishOutcome.from_json(publish).code
    assert code == ResultCode.DOCUMENT_INVALID
