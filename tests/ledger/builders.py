"""Builders, a script runner and a fake network for ledger tests."""

import dataclasses
import random

import pydantic

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.ledger import records
from cyclamenlift.ledger import state
from cyclamenlift.ledger.tasks import ClaimClient
from cyclamenlift.wire.codec import FIELD_BY_TYPE
from cyclamenlift.wire.gen.protocol import ttypes

START = 1_000_000
END = 10_000
EVENT_END = START + END
DAY = state.RETAINED_MS
LONG = 'k' * 513
KEY = records.ClaimKey('booking', 'k')
ANSWER = records.AnswerRecord(201, [('x', 'y')], b'\xfe\x00', True)
CONTROL = [Address('127.0.0.1', port) for port in (1, 2, 3)]
NAMES = dict(zip(CONTROL, ('a', 'b', 'c'), strict=True))
OFFSETS = {'DAY': DAY, 'END': END, 'MIN': state.RELEASED_MS}
SNAPSHOT = pydantic.TypeAdapter(records.LedgerSnapshot)


def restarted(ledger: state.Ledger) -> state.Ledger:
    """Return the ledger restored from its encoded snapshot."""
    data = ledger.encode()
    fresh = state.Ledger()
    fresh.restore(SNAPSHOT.validate_json(data))
    # The fresh ledger has no cached encodings, so this detects stale ones.
    assert fresh.encode() == data
    for identity, claim in ledger.claims.items():
        assert dataclasses.replace(claim, encoded=None) == (
            dataclasses.replace(fresh.claims[identity], encoded=None)
        )
    return fresh


def offset(text) -> int:
    """Return milliseconds from a number or a sum such as ``END+DAY-1``."""
    return eval(str(text), {}, OFFSETS)


class Script:
    """A ledger driven by textual steps; each step returns its answer."""

    def __init__(self):
        self.ledger = state.Ledger()
        self.ledger.advance(START)
        self.event_end = EVENT_END

    def run(self, action, *words):
        """Run one step, given as words."""
        plain = [word for word in words if '=' not in word]
        fields = dict(word.split('=') for word in words if '=' in word)
        return getattr(self, action)(*plain, **fields)

    def claim(self, attempt, key='k', expires='', mark='1', left=500):
        names = [LONG if name == 'LONG' else name for name in (key, attempt)]
        expires_ms = START + offset(expires) if expires else 0
        request = records.Attempt(
            'booking', *names, expires_ms, mark.encode(), int(left)
        )
        outcome = self.ledger.claim(request, self.event_end)
        return outcome.code or outcome.verdict.name

    def end(self, attempt, ending, kept='1'):
        answer = dataclasses.replace(ANSWER, body_kept=kept == '1')
        return self.ledger.end(KEY, attempt, records.Ending[ending], answer)

    def at(self, text):
        self.ledger.advance(START + offset(text))

    def event(self, text):
        self.event_end = START + offset(text) if text != '0' else 0

    def restart(self):
        self.ledger = restarted(self.ledger)


class FakeClock:
    """A clock that tests advance."""

    def __init__(self):
        self.instant = 100.0

    def now(self) -> float:
        return self.instant

    def unix_ms(self) -> int:
        return int(self.instant * 1000)


class FakeLink:
    """A connection that records the messages sent over it."""

    def __init__(self, address=None, instance='', number=1):
        self.address = address
        self.hello = (
            ttypes.Hello(instance, 'bole', 1, 'c') if instance else None
        )
        self.number = number
        self.was_established = True
        self.pending = 0
        self.sent = []

    def send(self, message) -> bool:
        self.sent.append(message)
        return True


class FakeNetwork:
    """A fake network; ``sent`` holds (address, message) in order."""

    def __init__(self):
        self.links = {a: FakeLink(a, n) for a, n in NAMES.items()}
        self.sent = []
        self.given_up = []
        self.receivers = {}
        self.lost_hooks = []

    def subscribe(self, kind, receiver) -> None:
        self.receivers[FIELD_BY_TYPE[kind]] = receiver

    def subscribe_lost(self, hook) -> None:
        self.lost_hooks.append(hook)

    def send(self, address, message) -> bool:
        self.sent.append((address, message))
        return True

    def has_link(self, address) -> bool:
        return address in self.links

    def is_established(self, address) -> bool:
        return address in self.links

    def bytes_received_from(self, _address) -> int:
        return 0

    def abort_connecting(self, address) -> None:
        self.given_up.append(address)

    def deliver(self, address, message) -> None:
        """Deliver a message from the peer at ``address``."""
        link = self.links.get(address) or FakeLink(address, str(address))
        self.receivers[FIELD_BY_TYPE[type(message)]](link, message)

    def lose(self, address, was_established=True) -> None:
        link = FakeLink(address, NAMES[address])
        link.was_established = was_established
        for hook in self.lost_hooks:
            hook(link)


class ClaimClientHarness:
    """A claim client with a fake network and a manual clock."""

    def __init__(self, control=CONTROL):
        self.clock = FakeClock()
        self.root = build_root(self.clock)
        self.network = FakeNetwork()
        self.client = ClaimClient(
            self.root, self.network, list(control), random.Random(1)
        )
        self.answers = []
        self.ended = []
        self.answered = 0

    def claim(self, seconds=5.0, attempt='a1'):
        request = ttypes.ClaimRequest(
            None, 'booking', 'k', attempt, 0, 0, b'f'
        )
        deadline = self.clock.instant + seconds
        self.client.claim(request, deadline, self.answers.append)

    def pass_time(self, seconds) -> None:
        """Advance the clock in small steps and run due timers."""
        end = self.clock.instant + seconds
        while self.clock.instant < end - 1e-9:
            self.clock.instant = min(end, self.clock.instant + 0.01)
            self.root.scheduler.run_due()

    def asked(self, kind) -> list[Address]:
        """Return the recipients of messages of ``kind``, in order."""
        return [a for a, m in self.network.sent if isinstance(m, kind)]

    def reply(self, answer, address=None) -> None:
        """Answer the last message sent, by default from its recipient."""
        to, message = self.network.sent[-1]
        answer.request_id = message.request_id
        self.network.deliver(address or to, answer)
        self.root.scheduler.run_due()
