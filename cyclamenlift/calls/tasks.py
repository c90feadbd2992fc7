"""Manages all calls of an entry and dispatches frames to them."""

from collections.abc import Callable
import itertools
from typing import Protocol
import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.accounts.messages import PASS
from cyclamenlift.calls.account_keys import find_account
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.budgets import BodyBudget
from cyclamenlift.calls.budgets import RetryBudget
from cyclamenlift.calls.budgets import SharedRetryBudget
from cyclamenlift.calls.call import as_headers
from cyclamenlift.calls.call import Call
from cyclamenlift.calls.intake import KEY_EXPIRES_HEADER
from cyclamenlift.calls.intake import read_request
from cyclamenlift.calls.intake import Request
from cyclamenlift.calls.intake import TIMEOUT_HEADER
from cyclamenlift.calls.nested import Parent
from cyclamenlift.calls.shares import WeightedRoundRobin
from cyclamenlift.calls.tries import MAX_PACE_CHECKS
from cyclamenlift.calls.usual_timeouts import UsualTimeouts
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.headers import end_to_end
from cyclamenlift.http.headers import HOP_BY_HOP
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import ServiceRule
from cyclamenlift.quarantine.fingerprints import RequestHash
from cyclamenlift.quarantine.tasks import Quarantine
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import Header
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from cyclamenlift.wire.gen.protocol.ttypes import Probe
from cyclamenlift.wire.gen.protocol.ttypes import ProbeAnswer
from cyclamenlift.wire.gen.protocol.ttypes import Refused

LOG = structlog.get_logger('calls')
ANSWERED_CODES = (ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD)
# Refusals because the current rules lack the service, route or key.
UNKNOWN_NAME_CODES = (
    ResultCode.NO_ROUTE,
    ResultCode.UNKNOWN_SERVICE,
    ResultCode.ACCOUNT_KEY_UNKNOWN,
)
# Retry delay in milliseconds while newer rules are being distributed: the time
# after which most daemons have a large change on slow links.
RULES_RETRY_AFTER_MS = 250
# Headers handled by the entry; the gate passes what the target needs.
OWN_HEADERS = frozenset(
    (
        TIMEOUT_HEADER,
        KEY_EXPIRES_HEADER,
        'content-length',
        'expect',
    )
)
NOT_FORWARDED = OWN_HEADERS | HOP_BY_HOP


class PassageLimits(Protocol):
    """Decides whether calls of a client account pass its limit."""

    def request_passage(self, rule, resume: Callable) -> None:
        """Call ``resume`` with the decision, at once or a little later."""

    def withdraw(self, rule, resume: Callable) -> None:
        """Forget a call that was given up before the decision."""

    def give_back(self, rule) -> None:
        """Count a call back that passed and has not run."""


class NoLimits:
    """Lets all calls pass, where instances don't know each other."""

    def request_passage(self, _rule, resume: Callable) -> None:
        resume(PASS)

    def withdraw(self, _rule, _resume: Callable) -> None:
        pass

    def give_back(self, _rule) -> None:
        pass


class Calls:
    """Owns every call received by this entry that is not yet answered."""

    def __init__(
        self,
        scheduler,
        routing,
        claims,
        link_to: Callable[[object], object],
        instance: str,
        body_budget: int,
        max_depth: int,
        own_service: str = '',
    ):
        self.scheduler = scheduler
        self.clock = scheduler.clock
        self.now: Callable[[], float] = scheduler.clock.now
        self.routing = routing
        self.claims = claims
        self.link_to = link_to
        self.instance = instance
        self.max_depth = max_depth
        self.own_service = own_service
        self.service_picker = WeightedRoundRobin(routing.rng)
        self.usual_timeouts = UsualTimeouts()
        self.quarantine = Quarantine(scheduler)
        self.boot = uuid.uuid4().hex[:12]
        self.numbers = itertools.count(1)
        self.body_budget = BodyBudget(body_budget)
        self.retry_budgets: dict[str, RetryBudget | SharedRetryBudget] = {}
        self.budget_factory: Callable[[], SharedRetryBudget] | None = None
        self.entries = 1
        self.max_pace_checks = MAX_PACE_CHECKS
        self.rules: EventRules | None = None
        self.tries: dict[int, Call] = {}
        self.open_calls: set[Call] = set()
        self.probes: dict[int, tuple[str, str]] = {}
        self.finished_hooks: list[Callable[[Call, ResultCode], None]] = []
        # Returns whether other instances are known to have newer rules.
        self.is_behind: Callable[[], bool] = lambda: False
        # Returns the call of the local target that made the call with this id.
        self.parent_of: Callable[[str], Parent | None] = lambda _id: None
        self.account_limits: PassageLimits = NoLimits()
        self.keys_refused = 0
        # Calls that were ended by an error in their handling here.
        self.failed_calls = 0
        # Returns whether the client accounts known here still hold.
        self.accounts_hold: Callable[[], bool] = lambda: True

    def subscribe(self, network) -> None:
        """Subscribe to the messages of gates."""
        network.subscribe(AnswerStart, self.on_answer_start)
        network.subscribe(Refused, self.on_refused)
        network.subscribe(Broken, self.on_broken)
        network.subscribe(Cancelled, self.on_cancelled)
        network.subscribe(ProbeAnswer, self.on_probe_answer)
        network.subscribe(LoadNews, self.on_load_news)
        network.subscribe_lost(self.on_link_lost)

    # -- commands ---------------------------------------------------------

    def apply_rules(self, rules: EventRules) -> None:
        self.rules = rules
        self.routing.set_rules(rules)
        if rules.routes is not None:
            names = {route.name for route in rules.routes.routes}
            self.service_picker.keep_only(names)
            self.usual_timeouts.keep_only(names)

    def handle_request(self, exchange: Exchange) -> None:
        """Accept a request from the HTTP server."""
        result = read_request(
            exchange, self.rules, self.max_depth, self.service_picker
        )
        if not isinstance(result, Success):
            self.refuse(exchange, self.unless_rules_behind(result.failure()))
            return
        request = result.unwrap()
        parent = self.parent_of(request.call_id)
        account = self.find_account(exchange, request, parent)
        if not isinstance(account, Success):
            self.keys_refused += 1
            self.refuse(exchange, self.unless_rules_behind(account.failure()))
            return
        request.account = account.unwrap()
        request.among_accounts = self.rules.accounts is not None
        request.nested = self.is_nested(exchange, parent)
        self.detect_return(request)
        if not request.call_id:
            request.call_id = self.new_call_id()
        call = Call(self, exchange, request)
        self.open_calls.add(call)
        if parent is not None:
            self.link_parent(call, parent)
        call.begin()
        self.send_probes(call.service)

    def find_account(
        self, exchange: Exchange, request: Request, parent: Parent | None
    ) -> Result[AccountRule | None, Problem]:
        """Return the client account of a request, None if it needs none."""
        found = find_account(
            exchange, self.rules.accounts, request.route, parent
        )
        keyed = isinstance(found, Success) and found.unwrap() is not None
        if keyed and parent is None and not self.accounts_hold():
            return Failure(Problem(ResultCode.ACCOUNTS_STALE))
        return found

    def detect_return(self, request: Request) -> None:
        """Bring the objective nearer by the time an earlier try used up."""
        if request.nested or not request.asked_ms:
            return
        used_ms = self.usual_timeouts.elapsed_ms(
            request.route_name, request.asked_ms
        )
        request.returned = used_ms > 0
        request.objective_deadline -= used_ms / MILLISECONDS

    def set_entries(self, entries: int) -> None:
        """Divide the retry budgets among all entries, with this one."""
        self.entries = entries
        if self.budget_factory is not None:
            for budget in self.retry_budgets.values():
                budget.set_members(entries)

    def link_parent(self, call: Call, parent: Parent) -> None:
        """Link a nested call to its parent call.

        A nested call counts as a repeat if its parent is one.
        """
        call.parent = parent
        parent.nested_began()
        if parent.repeated and self.budget_factory is not None:
            call.state.budget.debit(1.0)

    def unless_rules_behind(self, problem: Problem) -> Problem:
        """Return the problem, or RULES_BEHIND if newer rules are coming.

        A service, route or key that the current rules lack may be in the
        newer ones, and a caller would not retry after a 404 or 401.
        """
        if problem.code not in UNKNOWN_NAME_CODES or not self.is_behind():
            return problem
        return Problem(
            ResultCode.RULES_BEHIND, retry_after_ms=RULES_RETRY_AFTER_MS
        )

    def refuse(self, exchange: Exchange, problem: Problem) -> None:
        """Answer a request that did not become a call."""
        exchange.respond_problem(problem)
        LOG.info(
            'request_refused',
            call_id=exchange.header(exchange.dialect.call_id),
            code=int(problem.code),
            host=exchange.header('host'),
            path=exchange.path[:100],
            config_version=self.rules.version if self.rules else 0,
        )

    def send_probes(self, service: str) -> None:
        """Send the probes that this entry's share of the budget allows now."""
        now = self.now()
        for order in self.routing.probes_due(service, now):
            number = self.next_number()
            self.probes[number] = (service, order.instance)
            link = self.link_to(order)
            if not link.send(Probe(number, service)):
                self.probes.pop(number, None)
            self.scheduler.after(
                1.0, lambda number=number: self.probes.pop(number, None)
            )

    def finished(self, call: Call, code: ResultCode) -> None:
        self.open_calls.discard(call)
        self.settle_account(call, code)
        if call.parent is not None:
            call.parent.nested_ended()
        self.log_outcome(call, code)
        for hook in self.finished_hooks:
            hook(call, code)

    def settle_account(self, call: Call, code: ResultCode) -> None:
        """Count a call back that reached no target.

        One whose caller has left may have run.
        """
        if not call.counted:
            return
        if is_not_run(code) and not call.caller_disconnected:
            self.account_limits.give_back(call.request.account)

    def log_outcome(self, call: Call, code: ResultCode) -> None:
        """Log the outcome of a call and its tries.

        Answered calls and refusals of the default dialect are logged at debug
        level only, because refusals come in large numbers.
        """
        routed = call.request.route is not None
        quiet = code in ANSWERED_CODES or is_not_run(code)
        write = LOG.debug if quiet and not routed else LOG.info
        event = 'call_not_answered'
        if code in ANSWERED_CODES:
            event = 'call_answered'
        write(
            event,
            call_id=call.request.call_id,
            service=call.service,
            code=int(code),
            route=call.request.route_name,
            status=call.status,
            milliseconds=int(
                (self.now() - call.exchange.received_at) * MILLISECONDS
            ),
            config_version=self.rules.version if self.rules else 0,
            trail=call.trail,
            nested=call.request.nested,
            account=call.request.account_name,
            returned=call.request.returned,
            retry_after_ms=call.state.retry_after_ms,
            hedged=call.tries.hedged,
            budget=round(call.state.budget.balance, 1),
            **({} if code in ANSWERED_CODES else self.log_details(call, code)),
        )

    # -- queries ----------------------------------------------------------

    def log_details(self, call: Call, code: ResultCode) -> dict[str, object]:
        """Return log fields on a request and its quarantine reports."""
        fields: dict[str, object] = {'fingerprint': call.fingerprint.hex()}
        if code is ResultCode.REQUEST_QUARANTINED:
            assessment = self.quarantine.assess(call.service, call.fingerprint)
            fields['reports'] = list(assessment.report_ids)
        return fields

    def next_number(self) -> int:
        return next(self.numbers)

    def next_attempt_id(self) -> str:
        return f'{self.instance}/{self.boot}/{self.next_number()}'

    def new_call_id(self) -> str:
        """Return an id for a call whose caller gave none."""
        return f'{self.instance}-{self.boot}-{self.next_number()}'

    def retry_budget(self, rule: ServiceRule) -> RetryBudget:
        budget = self.retry_budgets.get(rule.name)
        if budget is None:
            budget = self.new_budget(rule)
            self.retry_budgets[rule.name] = budget
        if self.budget_factory is None:
            budget.share = rule.retry_share
        return budget

    def new_budget(self, rule: ServiceRule) -> RetryBudget | SharedRetryBudget:
        if self.budget_factory is None:
            return RetryBudget(rule.retry_share)
        budget = self.budget_factory()
        budget.set_members(self.entries)
        return budget

    def forwarded_headers(self, exchange: Exchange) -> list[Header]:
        """Return the caller's headers to forward to the target."""
        dialect = exchange.dialect
        dropped = NOT_FORWARDED | dialect.reserved_fields
        if self.rules.accounts is not None:
            dropped |= {dialect.account_key}
        headers = end_to_end(exchange.headers, dropped)
        if dialect.caller_service and self.own_service:
            headers.append((dialect.caller_service, self.own_service))
        return as_headers(headers)

    def request_hash(self, exchange: Exchange) -> RequestHash:
        """Return the hash of a request without its body."""
        credentials = exchange.dialect.credentials
        return RequestHash(
            exchange.header('host') or '',
            exchange.method,
            exchange.path,
            (exchange.header(credentials) or '') if credentials else '',
        )

    def is_nested(self, exchange: Exchange, parent: Parent | None) -> bool:
        """Return whether a target made this call while running another."""
        depth = exchange.dialect.depth
        if depth and exchange.header(depth) is not None:
            return True
        return parent is not None

    def is_idle(self) -> bool:
        return not self.open_calls

    # -- messages ---------------------------------------------------------

    def find(self, link, number: int) -> tuple[Call, Try] | None:
        """Return the call and try that a message refers to.

        Numbers are unique in a process and valid only on the link they were
        sent on, so a late answer cannot reach another call.
        """
        call = self.tries.get(number)
        if call is None:
            return None
        attempt = call.tries.open.get(number)
        if attempt is None or attempt.link is not link:
            return None
        return call, attempt

    def run_step(self, call: Call, step: Callable, *arguments) -> None:
        """Run a step of a call; an error ends this call alone.

        The link carries the calls of other callers as well.
        """
        try:
            step(*arguments)
        except Exception:
            self.failed_calls += 1
            LOG.exception('call_failed', call_id=call.request.call_id)
            call.fail()

    def note_work(self, call: Call, answer: AnswerStart) -> None:
        """Learn a route's usual service time from an answer."""
        route = call.request.route_name
        if not route or answer.load is None or not answer.body_complete:
            return
        self.routing.work.note(
            route,
            answer.service_time_us / MICROSECONDS,
            answer.begun_pace_percent or 0,
            len(answer.body or b''),
        )

    def on_load_news(self, link, update: LoadNews) -> None:
        """Store a load change that a gate sent unsolicited."""
        if link.hello is not None and update.load is not None:
            self.note_load_change(link.hello.instance, update.load)

    def note_load_change(self, instance: str, load: LoadFigures) -> None:
        record = self.routing.records.get(instance)
        if record is None:
            return
        self.routing.note_load(record.service_name, instance, load, self.now())

    def note_load(self, call: Call, attempt: Try, load) -> None:
        if load is not None:
            self.routing.note_load(
                call.service, attempt.instance, load, self.now()
            )

    def note_answer_load(self, call: Call, attempt: Try, load) -> None:
        if load is not None:
            self.routing.note_answer_load(
                call.service, attempt.instance, load, self.now()
            )

    def on_answer_start(self, link, answer: AnswerStart) -> None:
        found = self.find(link, answer.call_id)
        if found is not None:
            call, attempt = found
            self.note_work(call, answer)
            self.run_step(call, call.on_answer_start, attempt, answer)
            self.note_answer_load(call, attempt, answer.load)

    def on_body_chunk(self, link, chunk: BodyChunk) -> None:
        found = self.find(link, chunk.call_id)
        if found is not None:
            call, attempt = found
            self.run_step(call, call.on_answer_body, attempt, chunk)

    def on_credit(self, link, credit: Credit) -> None:
        found = self.find(link, credit.call_id)
        if found is not None:
            call, attempt = found
            self.run_step(call, attempt.add_credit, credit.bytes_allowed)

    def on_refused(self, link, refused: Refused) -> None:
        found = self.find(link, refused.call_id)
        if found is not None:
            call, attempt = found
            self.note_load(call, attempt, refused.load)
            self.run_step(call, call.on_refused, attempt, refused)

    def on_broken(self, link, broken: Broken) -> None:
        if broken.end is not None:
            # Must precede the retry of the call that broke off.
            self.quarantine.on_report(broken.end)
        found = self.find(link, broken.call_id)
        if found is not None:
            call, attempt = found
            self.note_load(call, attempt, broken.load)
            self.run_step(call, call.on_broken, attempt, broken)

    def on_cancelled(self, link, cancelled: Cancelled) -> None:
        found = self.find(link, cancelled.call_id)
        if found is not None:
            call, attempt = found
            self.run_step(call, call.on_cancelled, attempt, cancelled)

    def on_probe_answer(self, _link, answer: ProbeAnswer) -> None:
        probe = self.probes.pop(answer.probe_id, None)
        if probe is not None and answer.load is not None:
            service, instance = probe
            self.routing.note_load(service, instance, answer.load, self.now())

    def on_link_lost(self, link) -> None:
        for call in list(self.tries.values()):
            for attempt in list(call.tries.open.values()):
                if attempt.link is link:
                    call.on_link_lost(attempt)

    def credit(self, attempt: Try, size: int) -> None:
        """Grant the gate credit while an answer is buffered."""
        attempt.link.send(Credit(attempt.number, size))
