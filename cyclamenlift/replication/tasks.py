"""The replica: a component that owns one copy of the replicated log."""

from collections.abc import Callable
import random

from circuits.core.components import BaseComponent
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.replication.commands import append_commands
from cyclamenlift.replication.commands import replace_storage
from cyclamenlift.replication.handling import EFFECTS
from cyclamenlift.replication.handling import restore_machine
from cyclamenlift.replication.inputs import connection_lost
from cyclamenlift.replication.inputs import receive
from cyclamenlift.replication.inputs import synced
from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.machine import StateMachine
from cyclamenlift.replication.queries import make_status
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.reads import ask_read
from cyclamenlift.replication.receivers import InvariantError
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.state import Limits
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.storage import open_storage
from cyclamenlift.replication.sync import SyncDone
from cyclamenlift.replication.sync import SyncFailed
from cyclamenlift.replication.sync import SyncTask
from cyclamenlift.replication.waiting import Proposal
from cyclamenlift.replication.waiting import ProposalDone
from cyclamenlift.replication.waiting import ReadDone
from cyclamenlift.replication.waiting import Waiting
from cyclamenlift.wire.gen.protocol.ttypes import AppendAnswer
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotAnswer
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk
from cyclamenlift.wire.gen.protocol.ttypes import VoteAnswer
from cyclamenlift.wire.gen.protocol.ttypes import VoteRequest
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

LOG = structlog.get_logger('replication')
TICKS_PER_HEARTBEAT = 4
MAX_COMMAND_BYTES = 2 * 1024 * 1024
# When a disk that refused a write is tried again, in seconds: well within
# the time in which a lost instance should be back (4 s).
REOPEN_SECONDS = 0.5
MESSAGES = (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
    VoteAnswer,
    VoteRequest,
)


class Replica(BaseComponent):
    """Runs the decisions: messages and ticks in, effects out.

    The machine is called on the loop's own thread. Every ``done`` is
    called once, never from inside the call that took it.
    """

    channel = 'replica'

    def __init__(
        self,
        root,
        network: PeerNetwork,
        settings: ReplicaSettings,
        machine: StateMachine,
        rng: random.Random,
    ):
        super().__init__(channel='replica')
        self.loop = root
        self.network = network
        self.settings = settings
        self.machine = machine
        self.rng = rng
        self.state: ReplicaState | None = None
        self.sync: SyncTask | None = None
        self.applied_index = 0
        self.active = False
        self.handling = False
        self.flush_planned = False
        self.disk_stalled = False
        self.waiting = Waiting()
        self.blank = b''
        self.known_leader = ''
        # Run with the name of each new leader, '' when there is none.
        self.leader_hooks: list[Callable[[str], None]] = []
        self.register(root)

    # -- queries ----------------------------------------------------------

    @property
    def leader(self) -> str:
        """The leader's name as known here, '' if there is none."""
        return self.state.leader if self.active else ''

    @property
    def leads(self) -> bool:
        return self.active and self.state.role is Role.LEADER

    def status(self) -> ReplicaStatus:
        """Return what this replica knows."""
        return make_status(
            self.settings.instance,
            self.state.peers if self.active else (),
            self.state if self.active else None,
            self.applied_index,
            self.now(),
        )

    def address_of(self, instance: str) -> Address | None:
        """Return where an instance is reached, None while unknown."""
        known = self.settings.peers.get(instance)
        if known is not None:
            return known
        text = self.state.addresses.get(instance)
        return Address.parse(text) if text else None

    def first_addresses(self) -> dict[str, str]:
        settings = self.settings
        found = {name: str(place) for name, place in settings.peers.items()}
        if settings.own_address:
            found[settings.instance] = settings.own_address
        return found

    # -- commands ---------------------------------------------------------

    def note_peer(self, instance: str, address: Address, live: bool) -> None:
        """Learn of another instance that could vote, or that it is gone."""
        if not self.active:
            return
        if live:
            self.state.note_peer(instance, str(address))
        else:
            self.state.forget_peer(instance)

    def start(self) -> Result[None, Problem]:
        """Open the folder and take part; a Failure names what is wrong."""
        self.blank = self.machine.snapshot()
        opened = self.open()
        if isinstance(opened, Failure):
            return opened
        for kind in MESSAGES:
            self.network.subscribe(kind, self.take_message)
        self.network.subscribe_lost(self.take_lost_link)
        self.plan_tick()
        return Success(None)

    def open(self) -> Result[None, Problem]:
        """Begin with what the folder holds."""
        settings = self.settings
        opened = open_storage(settings.folder, settings.instance)
        if isinstance(opened, Failure):
            return opened
        storage = opened.unwrap()
        self.state = ReplicaState(
            instance=settings.instance,
            peers=tuple(settings.peers),
            bootstrap=settings.bootstrap,
            limits=make_limits(settings),
            recovered=storage.recovered,
            rng=self.rng,
            now=self.now(),
            founder=settings.founder,
            addresses=self.first_addresses(),
        )
        if storage.recovered.snapshot is not None:
            restore_machine(self, storage.recovered.snapshot)
        self.sync = SyncTask(self.loop.poller, storage, self.take_outcome)
        self.sync.register(self.loop)
        self.sync.start()
        self.active = True
        LOG.info('replica_started', **self.state.summary())
        return Success(None)

    def stop(self) -> None:
        """Finish the writes, close the folder and fail what waits."""
        if self.sync is None:
            return
        self.active = False
        self.sync.stop()
        self.sync = None
        self.waiting.fail_all(self.not_leader())

    def propose(self, command: bytes, done: ProposalDone) -> None:
        """Append one command; ``done`` gets the machine's answer.

        Fails with NOT_LEADER when it was certainly not appended, and with
        CHANGE_UNKNOWN when leadership was lost after that. A command too
        large for one frame between instances fails with BODY_TOO_LARGE.
        """
        if len(command) > MAX_COMMAND_BYTES:
            detail = f'a command of {len(command)} bytes'
            problem = Problem(ResultCode.BODY_TOO_LARGE, detail)
            self.soon(lambda: done(Failure(problem)))
            return
        self.waiting.queue.append(Proposal(command, done))
        self.plan_flush()

    def read_barrier(self, done: ReadDone) -> None:
        """Confirm leadership after now, then tell the applied index.

        What the machine holds when ``done`` is called with Success is
        current. Fails with NOT_LEADER.
        """
        if not self.leads:
            problem = self.not_leader()
            self.soon(lambda: done(Failure(problem)))
            return
        token = self.waiting.add_read(done)
        ask_read(self.state, token, self.now())
        self.soon(self.handle_effects)

    def replace_storage(
        self, instance: str, storage_id: str, done: ProposalDone
    ) -> None:
        """Let ``storage_id`` count for ``instance`` after a lost disk.

        Fails with NOT_LEADER, STORAGE_REFUSED or CHANGE_UNKNOWN.
        """
        if not self.leads:
            problem = self.not_leader()
            self.soon(lambda: done(Failure(problem)))
            return
        asked = replace_storage(self.state, instance, storage_id, self.now())
        if isinstance(asked, Failure):
            self.soon(lambda: done(asked))
            return
        index = asked.unwrap()
        if index:
            self.waiting.note_appended(index, self.state.term, done)
        else:
            self.soon(lambda: done(Success(b'')))
        self.soon(self.handle_effects)

    # -- inputs -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def soon(self, callback: Callable[[], None]) -> None:
        """Run a callback at the next round of the loop."""
        self.loop.scheduler.after(0.0, callback)

    def plan_tick(self) -> None:
        seconds = self.settings.heartbeat_ms / MILLISECONDS
        seconds /= TICKS_PER_HEARTBEAT
        if self.active and self.state.returned:
            # Those who came back together must not ask in the same tick.
            until = self.state.election_deadline - self.now()
            seconds = max(0.0, min(seconds, until))
        self.loop.scheduler.after(seconds, self.run_tick)

    def run_tick(self) -> None:
        if self.sync is None:
            return
        self.plan_tick()
        if self.active:
            tick(self.state, self.now())
            self.note_disk()
            self.handle_effects()

    def note_disk(self) -> None:
        """Tell when the disk began to answer nothing, and when it goes on."""
        stalled = self.state.is_stalled(self.now())
        if stalled != self.disk_stalled:
            self.disk_stalled = stalled
            event = 'disk_stalled' if stalled else 'disk_goes_on'
            LOG.warning(event, term=self.state.term, led=self.known_leader)

    def take_message(self, link: Link, message) -> None:
        """Take a message of another instance, sent under its own name."""
        if not self.active or link.hello is None:
            return
        try:
            receive(self.state, link.hello.instance, message, self.now())
        except InvariantError as error:
            self.halt(Problem(ResultCode.STORAGE_DAMAGED, str(error)))
            return
        self.handle_effects()

    def take_lost_link(self, link: Link) -> None:
        if self.active and link.hello is not None:
            connection_lost(self.state, link.hello.instance, self.now())

    def take_outcome(self, outcome: SyncDone | SyncFailed) -> None:
        if not self.active:
            return
        if isinstance(outcome, SyncFailed):
            self.halt(outcome.problem)
            self.plan_reopen()
            return
        synced(self.state, outcome.ticket, self.now())
        self.handle_effects()
        self.flush()

    def halt(self, problem: Problem) -> None:
        """Take no further part: this disk can not be trusted any more."""
        LOG.error('replica_halted', code=int(problem.code), why=problem.line())
        self.active = False
        self.waiting.fail_all(self.not_leader())

    def plan_reopen(self) -> None:
        self.loop.scheduler.after(REOPEN_SECONDS, self.reopen)

    def reopen(self) -> None:
        """Take part again once the disk takes writes again.

        The write that failed is cut first: it may be read back without
        being on the disk. The machine begins anew, as after a restart.
        """
        if self.sync is None or self.active:
            return
        storage = self.sync.storage
        try:
            storage.segments.cut_unsure()
        except OSError as error:
            LOG.warning('disk_still_refuses', error=str(error))
            self.plan_reopen()
            return
        self.sync.stop()
        self.machine.restore(self.blank)
        self.applied_index = 0
        learned = self.state.addresses
        noted = self.state.noted
        opened = self.open()
        if isinstance(opened, Failure):
            self.note_not_reopened(opened.failure())
            return
        for name in noted:
            self.state.note_peer(name, learned.get(name, ''))
        LOG.info('replica_reopened')

    def note_not_reopened(self, problem: Problem) -> None:
        """Try again later, unless what is on the disk is damaged."""
        if problem.code == ResultCode.STORAGE_FAILED:
            LOG.warning('disk_still_refuses', error=problem.line())
            self.plan_reopen()
            return
        LOG.error('replica_not_reopened', problem=problem.line())
        self.sync = None

    # -- proposals --------------------------------------------------------

    def plan_flush(self) -> None:
        if not self.flush_planned:
            self.flush_planned = True
            self.soon(self.run_flush)

    def run_flush(self) -> None:
        self.flush_planned = False
        self.flush()

    def flush(self) -> None:
        """Append what is queued, one batch for each sync of ours."""
        if not self.waiting.queue:
            return
        if not self.leads:
            self.waiting.fail_queue(self.not_leader())
            return
        if not self.state.outbox.is_synced:
            return
        batch = self.waiting.take_batch(self.state.limits.batch_entries)
        first = append_commands(
            self.state,
            [proposal.command for proposal in batch],
            self.loop.scheduler.clock.unix_ms(),
            self.now(),
        )
        for index, proposal in enumerate(batch, start=first):
            self.waiting.note_appended(index, self.state.term, proposal.done)
        self.handle_effects()

    def not_leader(self) -> Problem:
        return Problem(ResultCode.NOT_LEADER, where=self.leader)

    # -- effects ----------------------------------------------------------

    def handle_effects(self) -> None:
        """Do what the decisions ask for, in order.

        Callbacks may come back in here; the outermost call goes on with
        what they add, so that the order is kept.
        """
        if self.handling:
            return
        self.handling = True
        try:
            while self.active and self.state.outbox.effects:
                self.handle_batch(self.state.outbox.take())
        except Exception as error:
            LOG.exception('effect_failed')
            self.halt(Problem(ResultCode.STORAGE_FAILED, repr(error)))
        finally:
            self.handling = False
        self.note_leader()

    def note_leader(self) -> None:
        if self.leader != self.known_leader:
            self.known_leader = self.leader
            LOG.info('leader_known', leader=self.leader, term=self.state.term)
            for hook in self.leader_hooks:
                hook(self.leader)

    def handle_batch(self, effects: list) -> None:
        writes = [e for e in effects if hasattr(e, 'ticket')]
        if writes:
            self.sync.write(writes)
        for effect in effects:
            if not hasattr(effect, 'ticket'):
                EFFECTS.get(type(effect).__name__)(self, effect)


def make_limits(settings: ReplicaSettings) -> Limits:
    return Limits(
        election=settings.election_ms / MILLISECONDS,
        heartbeat=settings.heartbeat_ms / MILLISECONDS,
        snapshot_entries=settings.snapshot_entries,
        wanted_voters=settings.wanted_voters,
    )
