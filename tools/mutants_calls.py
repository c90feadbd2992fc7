"""Mutants of the call path: calls, gate, HTTP server and links."""

from tools.mutation import Mutant

PATH_TESTS = 'tests/runtime/test_path.py'
SYSTEM = 'tests/system/test_failures.py'
BOOKINGS = 'tests/system/test_bookings.py'

CALL_MUTANTS = (
    Mutant(
        'unknown tries are forgotten',
        'cyclamenlift/calls/state.py',
        'if self.unknown_code is not None:\n            return '
        'self.unknown_code\n        return self.last_code',
        'return self.last_code',
        'tests/calls/test_state.py',
    ),
    Mutant(
        'bookings are tried again after an unknown end',
        'cyclamenlift/calls/state.py',
        'if ending.kind is not EndKind.NOT_RUN and not self.idempotent:',
        'if False:',
        PATH_TESTS,
    ),
    Mutant(
        'a lost connection counts as not run',
        'cyclamenlift/calls/attempt.py',
        'return not self.link.was_established',
        'return True',
        PATH_TESTS,
    ),
    Mutant(
        'the target client says unsent for everything',
        'cyclamenlift/gate/gate_call.py',
        'if not failure.sent:',
        'if True:',
        PATH_TESTS,
    ),
    Mutant(
        'the end of a connection makes any answer whole',
        'cyclamenlift/http/response_parser.py',
        'return self.head_ready and self.until_close and not self.problem',
        'return self.head_ready',
        'tests/http/test_client.py',
    ),
    Mutant(
        'a keyed call runs without its claim',
        'cyclamenlift/calls/call.py',
        'self.claim_holder.claim()\n            return',
        'self.claim_holder.held = True',
        PATH_TESTS,
    ),
    Mutant(
        'a not-run end keeps the key',
        'cyclamenlift/calls/claim_holder.py',
        'ClaimEnding.RELEASED, None, lambda',
        'ClaimEnding.UNKNOWN, None, lambda',
        PATH_TESTS,
    ),
    Mutant(
        'an error of a target is forgotten',
        'cyclamenlift/calls/call.py',
        'self.fallback = attempt',
        'pass',
        PATH_TESTS,
    ),
    Mutant(
        'overload from deeper is tried again',
        'cyclamenlift/calls/call.py',
        'failed and not self.overloaded_downstream(attempt)',
        'failed',
        PATH_TESTS,
    ),
    Mutant(
        'a draining gate takes calls',
        'cyclamenlift/gate/state.py',
        'if self.target_state == TargetState.DRAINING:\n            return '
        'self.refuse',
        'if False:\n            return self.refuse',
        'tests/gate/test_state.py ' + SYSTEM + '::'
        'test_drained_target_receives_no_new_calls',
    ),
    Mutant(
        'probes have no budget at the gate',
        'cyclamenlift/gate/probes.py',
        'if self.tokens < 1.0:',
        'if False:',
        'tests/gate/test_probes.py',
    ),
    Mutant(
        'a stop does not wait for calls',
        'cyclamenlift/runtime/graceful_shutdown.py',
        'if not self.is_idle() and now < self.deadline:',
        'if False:',
        SYSTEM + '::test_graceful_shutdown_completes_uploads',
    ),
    Mutant(
        'retries have no budget',
        'cyclamenlift/calls/budgets.py',
        'if self.balance - keep < 1.0:',
        'if False:',
        'tests/calls/test_state.py',
    ),
    Mutant(
        'a late answer may reach another call',
        'cyclamenlift/calls/tasks.py',
        'if attempt is None or attempt.link is not link:',
        'if attempt is None:',
        'tests/calls/test_tasks.py',
    ),
    Mutant(
        'a lost connection counts as not run, real processes',
        'cyclamenlift/calls/attempt.py',
        'return not self.link.was_established',
        'return True',
        BOOKINGS,
    ),
    Mutant(
        'the target client says unsent, real processes',
        'cyclamenlift/gate/gate_call.py',
        'if not failure.sent:',
        'if True:',
        BOOKINGS,
    ),
    Mutant(
        'a drain changes nothing at the gate',
        'cyclamenlift/runtime/daemon.py',
        'self.gate.drain()',
        'pass',
        'tests/system/test_under_load.py::'
        'test_target_drained_twice_under_load_receives_no_new_calls',
    ),
    Mutant(
        'a stop leaves at once, under load',
        'cyclamenlift/runtime/graceful_shutdown.py',
        'if not self.is_idle() and now < self.deadline:',
        'if False:',
        'tests/system/test_under_load.py::'
        'test_daemon_shutdown_under_load_loses_no_answer',
    ),
    Mutant(
        'a stop ends with connections open',
        'cyclamenlift/runtime/graceful_shutdown.py',
        'self.node.entry.end_idle()',
        'pass',
        'tests/runtime/test_graceful_shutdown.py',
    ),
    Mutant(
        'a target is known by its name alone',
        'cyclamenlift/gate/registration.py',
        'return born_ms < other_ms',
        'return False',
        'tests/gate/test_registration.py',
    ),
    Mutant(
        'the last slots are never given up',
        'cyclamenlift/gate/concurrency.py',
        'if done >= TIE_SHARE * best_done:',
        'if True:',
        'tests/gate/test_concurrency.py',
    ),
    Mutant(
        'whatever the mean call allows may wait',
        'cyclamenlift/gate/admission.py',
        'WAIT_SPREADS = 1.5',
        'WAIT_SPREADS = 0.0',
        'tests/gate/test_overload.py',
    ),
    Mutant(
        'the seeds are asked once a period',
        'cyclamenlift/membership/joining.py',
        'JOIN_STEPS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.0)',
        'JOIN_STEPS = ()',
        'tests/membership/test_joining.py',
    ),
    Mutant(
        'a call begins in a slow spell whatever it costs',
        'cyclamenlift/routing/finish.py',
        'if pace_percent <= SLOWDOWN_PACE or begun_now <= held:',
        'if True:',
        'tests/gate/test_calls_in_slowdowns.py',
    ),
    Mutant(
        'a cancelled call that waits for the pace begins all the same',
        'cyclamenlift/gate/pace_queries.py',
        'return self.waiting.pop(key, None) is not None',
        'return key in self.waiting',
        'tests/gate/test_pace_queries.py',
    ),
    Mutant(
        'the pace at which a body has come is not looked at',
        'cyclamenlift/gate/admission_control.py',
        'self.when_pace_known(call, self.begin_or_hold)',
        'call.begin(self.now())',
        'tests/gate/test_body_buffering.py',
    ),
    Mutant(
        'a body on its way goes on to a target that leaves',
        'cyclamenlift/gate/admission_control.py',
        'if call.is_buffering:\n                self.revoke_slot(call, code)',
        'pass',
        'tests/gate/test_body_buffering.py',
    ),
    Mutant(
        'all bodies come at once',
        'cyclamenlift/gate/body_transfers.py',
        'self.active_transfers() < self.max_transfers()',
        'True',
        'tests/gate/test_body_transfers.py',
    ),
    Mutant(
        'calls are let in to a target that is gone',
        'cyclamenlift/gate/presence.py',
        'self.absent = True',
        'self.absent = False',
        'tests/gate/test_presence.py',
    ),
    Mutant(
        'slow calls are thought to free their slots soon',
        'cyclamenlift/gate/state.py',
        'seconds = mean_hold_time(self.hold_times.values(), usual)',
        'seconds = usual',
        'tests/gate/test_calls_in_slowdowns.py',
    ),
    Mutant(
        'urgent news go to members whatever their place',
        'cyclamenlift/membership/state.py',
        'near = [r for r in others if r.data_centre == own]',
        'near = []',
        'tests/membership/test_nearby_pushes.py',
    ),
)
