"""Mutants of the quarantine of requests that crash targets."""

from tools.mutation import Mutant

STATE = 'cyclamenlift/quarantine/state.py'
STATE_TESTS = 'tests/quarantine/test_state.py'
GATE_TESTS = 'tests/gate/test_suspects.py'
PATH_TESTS = 'tests/runtime/test_ending_targets.py'

QUARANTINE_MUTANTS = (
    Mutant(
        'one end convicts all that a target ran',
        STATE,
        'MIN_ENDS = 2',
        'MIN_ENDS = 1',
        STATE_TESTS,
    ),
    Mutant(
        'two that were at both ends are both convicted',
        STATE,
        'if far_apart or self.has_common_request(request, counted):',
        'if far_apart:',
        STATE_TESTS,
    ),
    Mutant(
        'two ends an hour apart convict',
        STATE,
        'if far_apart or self.has_common_request(request, counted):',
        'if self.has_common_request(request, counted):',
        STATE_TESTS,
    ),
    Mutant(
        'targets that end together count one by one',
        STATE,
        'SAME_CAUSE_SECONDS = 0.1',
        'SAME_CAUSE_SECONDS = 0.0',
        STATE_TESTS,
    ),
    Mutant(
        'an answer clears nobody',
        STATE,
        'self.clear(request, now)\n        return number',
        'return number',
        STATE_TESTS,
    ),
    Mutant(
        'all trials after a quarantine are let through',
        'cyclamenlift/gate/suspects.py',
        'if wait > 0.0:',
        'if False:',
        GATE_TESTS,
    ),
    Mutant(
        'a gate lets in what is kept away',
        'cyclamenlift/gate/suspects.py',
        'if assessment.status is QuarantineStatus.CLEAR:',
        'if True:',
        GATE_TESTS,
    ),
    Mutant(
        'a suspect runs several times at once',
        'cyclamenlift/gate/suspects.py',
        'if self.is_running(fingerprint):',
        'if False:',
        GATE_TESTS,
    ),
    Mutant(
        'a broken connection counts as an end',
        'cyclamenlift/gate/termination.py',
        'client.probe_hooks.append(self.note_connected)',
        'client.probe_hooks.append(self.note_connection_refused)',
        PATH_TESTS,
    ),
    Mutant(
        'entries are not told what ran at an end',
        'cyclamenlift/calls/tasks.py',
        'if broken.end is not None:',
        'if False:',
        PATH_TESTS,
    ),
    Mutant(
        'who starts believes others that have just started',
        'cyclamenlift/quarantine/tasks.py',
        'if seen.digest or seen.from_control or peers_trusted:',
        'if True:',
        'tests/quarantine/test_tasks.py',
    ),
)
