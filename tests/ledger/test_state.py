"""The ledger's decisions, as scripts of steps with expected answers.

A step is ``claim ATTEMPT [field=value]``, ``end ATTEMPT ENDING``, ``at
OFFSET`` (ledger time), ``event OFFSET`` (its end) or ``restart``, then
``>`` and the answer. ``DAY``, ``END`` and ``MIN`` are offsets.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.ledger import state
from tests.ledger import builders

DAY, END, MIN = builders.DAY, builders.END, state.RELEASED_MS
ANSWERS = {
    'granted': 'GRANTED',
    'recorded': ResultCode.ANSWERED_FROM_RECORD,
    'large': ResultCode.RECORD_TOO_LARGE,
    'open': ResultCode.CLAIM_IN_PROGRESS,
    'unknown': ResultCode.CLAIM_UNKNOWN,
    'reused': ResultCode.KEY_REUSED,
    'expired': ResultCode.KEY_EXPIRED,
    'cancelled': ResultCode.CANCELLED_NOT_RUN,
    'no document': ResultCode.NO_CONFIGURATION,
    'bad': ResultCode.BAD_REQUEST,
    'yes': True,
    'no': False,
    '': None,
}
SCRIPTS = {
    'the same attempt gets its grant again': """
        claim a > granted; claim a > granted""",
    'another attempt learns of the one in progress': """
        claim a > granted; claim b > open""",
    'an attempt past its deadline is unknown, never free': """
        claim a left=500 > granted; at 500; claim b > unknown;
        claim a > granted""",
    'a recorded answer goes to every later attempt': """
        claim a > granted; end a ANSWERED > yes; claim b > recorded;
        claim a > recorded""",
    'an answer without its body is reported as too large': """
        claim a > granted; end a ANSWERED kept=0 > yes; claim b > large""",
    'a release frees the key for another attempt': """
        claim a > granted; end a RELEASED > yes; claim b mark=2 > granted""",
    'a late copy of a released claim has no effect': """
        claim a > granted; end a RELEASED > yes; claim a > cancelled;
        claim b > granted""",
    'a release that arrives before its claim prevents it': """
        end a RELEASED > yes; claim a > cancelled""",
    'a late release frees no newer claim': """
        claim a > granted; end a RELEASED > yes; claim b > granted;
        end a RELEASED > yes; claim c > open""",
    'an answered attempt is never released': """
        claim a > granted; end a ANSWERED > yes; end a RELEASED > no;
        claim b > recorded""",
    'an unknown attempt is never released': """
        claim a > granted; end a UNKNOWN > yes; end a RELEASED > no;
        claim b > unknown; claim b > unknown""",
    'a late answer replaces an unknown outcome': """
        claim a > granted; end a UNKNOWN > yes; end a ANSWERED > yes;
        end a UNKNOWN > yes; claim b > recorded""",
    'only the holder ends a claim': """
        claim a > granted; end b ANSWERED > no; end b UNKNOWN > no;
        claim b > open""",
    'a key for another request is refused': """
        claim a > granted; claim b mark=2 > reused; claim a mark=2 > reused""",
    'a key past its deadline is refused': """
        claim a expires=0 > expired; claim a expires=1 > granted""",
    'the horizon is a day past the end of the event': """
        claim a expires=END+DAY+1 > expired;
        claim a expires=END+DAY > granted""",
    'a key without a deadline ends with the event': """
        at END; claim a > expired""",
    'another deadline for a held key causes no second run': """
        claim a expires=50 > granted; claim b expires=900 > open;
        at 899+DAY; claim b expires=900 > unknown""",
    'a key is still known a day after its deadline': """
        claim a > granted; end a ANSWERED > yes; at END+DAY-1; event 5*DAY;
        claim b > recorded; restart; claim b > recorded""",
    'a forgotten key with its old deadline stays refused': """
        claim a expires=50 > granted; at 50+DAY; event 9*DAY;
        claim b expires=50 > expired; claim b expires=2*DAY > granted""",
    'a released attempt is forgotten after a minute': """
        end a RELEASED > yes; at MIN-1; claim a > cancelled; at MIN;
        event DAY; claim a > granted""",
    'ledger time never decreases': """
        at 600; at 0; claim a expires=600 > expired""",
    'nothing is granted without a document': """
        event 0; claim a > no document""",
    'a malformed claim is refused': """
        claim a key= > bad; claim a key=LONG > bad;
        claim LONG > bad; claim a expires=-2*DAY > bad""",
}


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('text', SCRIPTS.values(), ids=SCRIPTS)
def test_ledger(text, restarts):
    script = builders.Script()
    for step in text.split(';'):
        if restarts:
            script.restart()
        words, _, expected = step.partition('>')
        answer = script.run(*words.split())
        assert answer == ANSWERS[expected.strip()], step


def test_complete_record_survives_a_restart():
    script = builders.Script()
    script.claim('a')
    script.end('a', 'ANSWERED')
    script.restart()
    assert script.ledger.claims[builders.KEY].answer == builders.ANSWER


def test_released_claims_leave_no_state():
    script = builders.Script()
    for number in range(5_000):
        script.claim(str(number))
        script.end(str(number), 'RELEASED')
    assert len(script.ledger.expiry) <= state.HEAP_SLACK + 2
    script.at(state.RELEASED_MS)
    assert not script.ledger.released
    assert not script.ledger.claims


def test_retained_keys_are_bounded(monkeypatch):
    monkeypatch.setattr(state, 'MAX_RETAINED', 3)
    script = builders.Script()
    for number in range(10):
        script.claim('a', key=str(number), expires=str(9 - number))
    script.at(20)
    keys = sorted(key.key for key in script.ledger.claims)
    assert keys == ['0', '1', '2']
