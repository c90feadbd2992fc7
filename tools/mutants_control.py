"""Mutants of control: ledger, documents, replicated log, foreign peers."""

from tools.mutation import Mutant

LEDGER = 'cyclamenlift/ledger/state.py'
LEDGER_TESTS = 'tests/ledger/test_state.py'
RANDOM_TESTS = 'tests/ledger/test_ledger_properties.py'
CLAIM_CLIENT = 'cyclamenlift/ledger/tasks.py'
CLIENT_TESTS = 'tests/ledger/test_tasks.py'
CLAIM_SERVER = 'cyclamenlift/ledger/server.py'
SERVER_TESTS = 'tests/ledger/test_server.py'
STORE = 'cyclamenlift/events/state.py'
STORE_TESTS = 'tests/events/test_state.py'
ADOPTION = 'cyclamenlift/events/adoption.py'
ADOPTION_TESTS = 'tests/events/test_adoption.py'
CHANGES = 'cyclamenlift/events/changes.py'
CHANGES_TESTS = 'tests/events/test_changes.py'
DOCUMENTS = 'cyclamenlift/events/server.py'
DOCUMENT_TESTS = 'tests/events/test_control_side.py'
FOLLOWER = 'cyclamenlift/events/tasks.py'
FOLLOWER_TESTS = 'tests/events/test_tasks.py'
LINKS = 'cyclamenlift/wire/tasks.py'
LINK_TESTS = 'tests/wire/test_tasks.py'
SEGMENTS = 'cyclamenlift/replication/segments.py'
STORAGE_TESTS = 'tests/replication/test_storage.py'

CONTROL_MUTANTS = (
    Mutant(
        'a late order undoes a later one',
        'cyclamenlift/events/evacuations.py',
        'if known is not None and base_revision < known.revision:',
        'if False:',
        'tests/events/test_evacuations.py',
    ),
    Mutant(
        'a taker sends an order on for an operator that has left',
        'cyclamenlift/events/evacuation_orders.py',
        'if not self.is_awaited():',
        'if False:',
        'tests/events/test_evacuations.py',
    ),
    Mutant(
        'a taker sends an order on long after its operator has left',
        'cyclamenlift/events/evacuation_orders.py',
        'elif self.boot_clock() >= self.abandoned_at:',
        'elif False:',
        'tests/events/test_evacuations.py',
    ),
    Mutant(
        'an order is sent before the end of its connection can arrive',
        'cyclamenlift/events/evacuation_orders.py',
        'ARRIVAL_SECONDS = 0.05',
        'ARRIVAL_SECONDS = 0.0',
        'tests/events/test_evacuations.py',
    ),
    Mutant(
        'a snapshot forgets the evacuations',
        'cyclamenlift/runtime/state_machine.py',
        'self.evacuations.restore(state.evacuations)',
        'pass',
        'tests/events/test_evacuations.py',
    ),
    Mutant(
        'a late release frees a newer claim',
        LEDGER,
        'held if holds else None)',
        'held)',
        LEDGER_TESTS,
    ),
    Mutant(
        'anyone may release, random steps',
        LEDGER,
        'held if holds else None)',
        'held)',
        RANDOM_TESTS,
    ),
    Mutant(
        'an ended attempt may be released',
        LEDGER,
        'if held is not None and held.state is not ClaimState.OPEN:',
        'if False:',
        LEDGER_TESTS,
    ),
    Mutant(
        'released attempts are not remembered',
        LEDGER,
        'self.released.setdefault(attempt.identity(), attempt)',
        'pass',
        LEDGER_TESTS,
    ),
    Mutant(
        'a key past its deadline is granted',
        LEDGER,
        'return self.time_ms < expires_ms <= latest_ms',
        'return expires_ms <= latest_ms',
        RANDOM_TESTS,
    ),
    Mutant(
        'the deadline of an attempt frees its key',
        LEDGER,
        'if held.attempt_deadline_ms <= self.time_ms:\n            '
        'return ClaimOutcome(Verdict.UNKNOWN, ResultCode.CLAIM_UNKNOWN)',
        'if held.attempt_deadline_ms <= self.time_ms:\n            '
        'return ClaimOutcome(Verdict.GRANTED)',
        RANDOM_TESTS,
    ),
    Mutant(
        'ledger time falls',
        LEDGER,
        'if stamp_unix_ms > self.time_ms:',
        'if True:',
        RANDOM_TESTS,
    ),
    Mutant(
        'a restart loses unknown claims',
        LEDGER,
        'for c in state.claims}',
        'for c in state.claims if c.state is not ClaimState.UNKNOWN}',
        RANDOM_TESTS,
    ),
    Mutant(
        'a grant that comes too late is used',
        CLAIM_CLIENT,
        'if self.now() >= pending.give_up_at:',
        'if False:',
        CLIENT_TESTS,
    ),
    Mutant(
        'a claim left behind is not released',
        CLAIM_CLIENT,
        'if pending.is_maybe_appended():',
        'if False:',
        CLIENT_TESTS,
    ),
    Mutant(
        'a follower proposes claims',
        CLAIM_SERVER,
        'if not self.leads():\n            self.reply(link, not_leader',
        'if False:\n            self.reply(link, not_leader',
        SERVER_TESTS,
    ),
    Mutant(
        'a claim with an open outcome counts as not in the log',
        CLAIM_SERVER,
        'if failed_with(result, ResultCode.NOT_LEADER):',
        'if isinstance(result, Failure):',
        SERVER_TESTS,
    ),
    Mutant(
        'publish ignores the base version',
        STORE,
        'if base_version != self.version:',
        'if False:',
        STORE_TESTS,
    ),
    Mutant(
        'a resent change is applied again',
        STORE,
        'if known is not None:',
        'if False:',
        STORE_TESTS,
    ),
    Mutant(
        'a leader keeps its place while its disk hangs',
        'cyclamenlift/replication/disk_stalls.py',
        'return now - self.last_progress_at >= STALLED_ELECTIONS * election',
        'return False',
        'tests/replication/test_state.py',
    ),
    Mutant(
        'a running daemon takes an older version',
        ADOPTION,
        'if offer.version <= self.version:',
        'if offer.version == self.version:',
        ADOPTION_TESTS,
    ),
    Mutant(
        'a starting daemon takes one word',
        ADOPTION,
        'if not self.is_trusted(offer.version):',
        'if False:',
        ADOPTION_TESTS,
    ),
    Mutant(
        'falling back needs one source only',
        ADOPTION,
        'MIN_SOURCES = 2',
        'MIN_SOURCES = 1',
        ADOPTION_TESTS,
    ),
    Mutant(
        'a document that does not parse counts as in force',
        ADOPTION,
        '        try:\n            steps = self.resolve_steps(',
        '        self.history.version = offer.version\n'
        '        try:\n            steps = self.resolve_steps(',
        ADOPTION_TESTS,
    ),
    Mutant(
        'a document below what a majority named starts a daemon',
        ADOPTION,
        'self.running or 0 < self.majority_version <= version',
        'self.running or 0 < self.majority_version',
        ADOPTION_TESTS,
    ),
    Mutant(
        'a change is made on any document',
        CHANGES,
        'if digest_of_lines(result) != digest:',
        'if False:',
        CHANGES_TESTS,
    ),
    Mutant(
        'a link takes any number of documents at once',
        'cyclamenlift/events/document_answers.py',
        'if begins_at - now > MAX_QUEUED_SECONDS:',
        'if False:',
        'tests/events/test_tasks.py',
    ),
    Mutant(
        'the answer of a follower counts as confirmed',
        DOCUMENTS,
        'self.send_answer(link, request, False)\n            return',
        'self.send_answer(link, request, True)\n            return',
        DOCUMENT_TESTS,
    ),
    Mutant(
        'a leader that is cut off confirms',
        DOCUMENTS,
        'committed = isinstance(result, Success)',
        'committed = True',
        DOCUMENT_TESTS,
    ),
    Mutant(
        'a request during a read is answered by it',
        DOCUMENTS,
        'batch, self.waiting = self.waiting, []',
        'batch = self.waiting',
        DOCUMENT_TESTS,
    ),
    Mutant(
        'a peer speaks for a majority',
        FOLLOWER,
        'majority=from_control and bool(answer.committed)',
        'majority=bool(answer.committed)',
        FOLLOWER_TESTS,
    ),
    Mutant(
        'frames of another cluster are accepted',
        LINKS,
        'and message.cluster == self.cluster',
        'and True',
        LINK_TESTS,
    ),
    Mutant(
        'frames before the hello are accepted',
        LINKS,
        'if link.hello is None:',
        'if False:',
        LINK_TESTS,
    ),
    Mutant(
        'damage in the middle of the log is cut',
        SEGMENTS,
        'if not is_last or record_follows(data, offset):',
        'if not is_last:',
        STORAGE_TESTS,
    ),
    Mutant(
        'a record is read without its checksum',
        'cyclamenlift/replication/records.py',
        'if crc32c(payload) != checksum:',
        'if False:',
        STORAGE_TESTS,
    ),
)
