"""The replica component, which runs one copy of the replicated log."""

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
from cyclamenlift.replication.effect_handlers import EFFECT_HANDLERS
from cyclamenlift.replication.effect_handlers import restore_machine
from cyclamenlift.replication.inputs import accepts
from cyclamenlift.replication.inputs import connection_lost
from cyclamenlift.replication.inputs import receive
from cyclamenlift.replication.inputs import synced
from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.machine import StateMachine
from cyclamenlift.replication.machine_effects import MACHINE_EFFECTS
from cyclamenlift.replication.machine_effects import MachineEffects
from cyclamenlift.replication.message_handlers import InvariantError
from cyclamenlift.replication.pending_operations import PendingOperations
from cyclamenlift.replication.pending_operations import Proposal
from cyclamenlift.replication.pending_operations import ProposalDone
from cyclamenlift.replication.pending_operations import ReadDone
from cyclamenlift.replication.queries import make_status
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.reads import request_read
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.state import Limits
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.state_log import StateLog
from cyclamenlift.replication.storage import open_storage
from cyclamenlift.replication.sync import SyncDone
from cyclamenlift.replication.sync import SyncFailed
from cyclamenlift.replication.sync import SyncTask
from cyclamenlift.replication.voter_changes import awaits_voters
from cyclamenlift.wire.gen.protocol.ttypes import AppendAnswer
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotAnswer
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk
from cyclamenlift.wire.gen.protocol.ttypes import VoteAnswer
from cyclamenlift.wire.gen.protocol.ttypes import VoteRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

LOG = structlog.get_logger('replication')
TICKS_PER_HEARTBEAT = 4
MAX_COMMAND_BYTES = 2 * 1024 * 1024
# Delay in seconds before storage is reopened after a failed write: well
# within the time in which a lost instance should be back (4 s).
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
    """Feeds messages and ticks to the protocol and executes its effects.

    The state machine is called on the event loop thread. Every ``done``
    callback is called once, never from inside the call that received it.
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
        self.flush_scheduled = False
        self.pending = PendingOperations()
        self.machine_effects = MachineEffects(self)
        self.state_log = StateLog()
        # The connection of each sender's last message: the way to answer a
        # leader whose address is not known yet.
        self.links: dict[str, Link] = {}
        self.initial_machine_state = b''
        self.reported_leader = ''
        # Called with the name of each new leader, '' if there is none.
        self.leader_hooks: list[Callable[[str], None]] = []
        self.register(root)

    # -- queries ----------------------------------------------------------

    @property
    def leader(self) -> str:
        """The name of the known leader, '' if there is none."""
        return self.state.leader if self.active else ''

    @property
    def leads(self) -> bool:
        return self.active and self.state.role is Role.LEADER

    def status(self) -> ReplicaStatus:
        """Return the status of this replica."""
        return make_status(
            self.settings.instance,
            self.state.peers if self.active else (),
            self.state if self.active else None,
            self.applied_index,
            self.now(),
        )

    def address_of(self, instance: str) -> Address | None:
        """Return the address of an instance, None if it is unknown."""
        known = self.settings.peers.get(instance)
        if known is not None:
            return known
        text = self.state.addresses.get(instance)
        return Address.parse(text) if text else None

    def initial_addresses(self) -> dict[str, str]:
        settings = self.settings
        found = {
            name: str(address) for name, address in settings.peers.items()
        }
        if settings.own_address:
            found[settings.instance] = settings.own_address
        return found

    # -- commands ---------------------------------------------------------

    def send(self, instance: str, message) -> None:
        """Send a message to an instance; it may be lost."""
        address = self.address_of(instance)
        if address is not None:
            self.network.send(address, message)
            return
        link = self.links.get(instance)
        if link is not None:
            link.send(message)

    def update_peer(self, instance: str, address: Address, live: bool) -> None:
        """Add an instance that may become a voter, or remove it."""
        if not self.active:
            return
        if live:
            self.state.add_peer(instance, str(address))
        else:
            self.state.remove_peer(instance)

    def start(self) -> Result[None, Problem]:
        """Open the data folder and join; a Failure describes the problem."""
        self.initial_machine_state = self.machine.snapshot()
        opened = self.open()
        if isinstance(opened, Failure):
            return opened
        for kind in MESSAGES:
            self.network.subscribe(kind, self.on_message)
        self.network.subscribe_lost(self.on_link_lost)
        self.schedule_tick()
        return Success(None)

    def open(self) -> Result[None, Problem]:
        """Open the data folder and start from its recovered state."""
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
            addresses=self.initial_addresses(),
        )
        if storage.recovered.snapshot is not None:
            restore_machine(self, storage.recovered.snapshot)
        self.sync = SyncTask(self.loop.poller, storage, self.on_sync_outcome)
        self.sync.register(self.loop)
        self.sync.start()
        self.active = True
        LOG.info('replica_started', **self.state.summary())
        return Success(None)

    def stop(self) -> None:
        """Finish writes, close the folder and fail pending operations."""
        if self.sync is None:
            return
        self.active = False
        self.machine_effects.clear()
        self.sync.stop()
        self.sync = None
        self.pending.fail_all(self.not_leader())

    def propose(self, command: bytes, done: ProposalDone) -> None:
        """Append a command; ``done`` gets the state machine's answer.

        Fails with NOT_LEADER if the command was certainly not appended, and
        with CHANGE_UNKNOWN if leadership was lost after it was appended. A
        command too large for one frame between instances fails with
        BODY_TOO_LARGE.
        """
        if len(command) > MAX_COMMAND_BYTES:
            detail = f'a command of {len(command)} bytes'
            problem = Problem(ResultCode.BODY_TOO_LARGE, detail)
            self.call_soon(lambda: done(Failure(problem)))
            return
        self.pending.queue.append(Proposal(command, done))
        self.schedule_flush()

    def read_barrier(self, done: ReadDone) -> None:
        """Confirm leadership, then call ``done`` with the applied index.

        On Success the state machine's state is current at the time of the
        call. Fails with NOT_LEADER.
        """
        if not self.leads:
            problem = self.not_leader()
            self.call_soon(lambda: done(Failure(problem)))
            return
        token = self.pending.add_read(done)
        request_read(self.state, token, self.now())
        self.call_soon(self.handle_effects)

    def replace_storage(
        self, instance: str, storage_id: str, done: ProposalDone
    ) -> None:
        """Make ``storage_id`` the voter of ``instance`` after a disk loss.

        Fails with NOT_LEADER, STORAGE_REFUSED or CHANGE_UNKNOWN.
        """
        if not self.leads:
            problem = self.not_leader()
            self.call_soon(lambda: done(Failure(problem)))
            return
        appended = replace_storage(
            self.state, instance, storage_id, self.now()
        )
        if isinstance(appended, Failure):
            self.call_soon(lambda: done(appended))
            return
        index = appended.unwrap()
        if index:
            self.pending.record_appended(index, self.state.term, done)
        else:
            self.call_soon(lambda: done(Success(b'')))
        self.call_soon(self.handle_effects)

    # -- inputs -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run a callback in the next iteration of the event loop."""
        self.loop.scheduler.after(0.0, callback)

    def schedule_tick(self) -> None:
        seconds = self.settings.heartbeat_ms / MILLISECONDS
        seconds /= TICKS_PER_HEARTBEAT
        if self.active and self.state.restarted_with_log:
            # Instances that restarted together must not start a pre-vote
            # in the same tick.
            until = self.state.election_deadline - self.now()
            seconds = max(0.0, min(seconds, until))
        self.loop.scheduler.after(seconds, self.run_tick)

    def run_tick(self) -> None:
        if self.sync is None:
            return
        self.schedule_tick()
        if self.active:
            tick(self.state, self.now())
            self.state_log.note_disk(
                self.state, self.reported_leader, self.now()
            )
            self.handle_effects()
            self.flush()

    def on_message(self, link: Link, message) -> None:
        """Process a message from the instance named in its hello."""
        if not self.active or link.hello is None:
            return
        sender = link.hello.instance
        if not accepts(self.state, sender, message):
            self.state_log.note_stranger(self.state, sender, message)
            return
        self.links[sender] = link
        try:
            receive(self.state, sender, message, self.now())
        except InvariantError as error:
            self.halt(Problem(ResultCode.STORAGE_DAMAGED, str(error)))
            return
        self.handle_effects()

    def on_link_lost(self, link: Link) -> None:
        if link.hello is None:
            return
        if self.links.get(link.hello.instance) is link:
            del self.links[link.hello.instance]
        if self.active:
            connection_lost(self.state, link.hello.instance, self.now())

    def on_sync_outcome(self, outcome: SyncDone | SyncFailed) -> None:
        if not self.active:
            return
        if isinstance(outcome, SyncFailed):
            self.halt(outcome.problem)
            self.schedule_reopen()
            return
        synced(self.state, outcome.ticket, self.now())
        self.handle_effects()
        self.flush()

    def halt(self, problem: Problem) -> None:
        """Stop taking part, since state or storage may be inconsistent."""
        LOG.error('replica_halted', code=int(problem.code), why=problem.line())
        self.active = False
        self.machine_effects.clear()
        self.pending.fail_all(self.not_leader())

    def schedule_reopen(self) -> None:
        self.loop.scheduler.after(REOPEN_SECONDS, self.reopen)

    def reopen(self) -> None:
        """Reopen the storage and rejoin once the disk accepts writes.

        The failed write is truncated first, since it may be readable from
        the cache without being on the disk. The state machine restarts from
        its initial state, as after a process restart.
        """
        if self.sync is None or self.active:
            return
        storage = self.sync.storage
        try:
            storage.segments.truncate_uncertain_tail()
        except OSError as error:
            LOG.warning('disk_still_refuses', error=str(error))
            self.schedule_reopen()
            return
        self.sync.stop()
        self.machine.restore(self.initial_machine_state)
        self.applied_index = 0
        known_addresses = self.state.addresses
        reported_peers = self.state.reported_peers
        opened = self.open()
        if isinstance(opened, Failure):
            self.handle_reopen_failure(opened.failure())
            return
        for name in reported_peers:
            self.state.add_peer(name, known_addresses.get(name, ''))
        LOG.info('replica_reopened')

    def handle_reopen_failure(self, problem: Problem) -> None:
        """Schedule a retry, unless the stored data is damaged."""
        if problem.code == ResultCode.STORAGE_FAILED:
            LOG.warning('disk_still_refuses', error=problem.line())
            self.schedule_reopen()
            return
        LOG.error('replica_not_reopened', problem=problem.line())
        self.sync = None

    # -- proposals --------------------------------------------------------

    def schedule_flush(self) -> None:
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.call_soon(self.run_flush)

    def run_flush(self) -> None:
        self.flush_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Append queued proposals, one batch per local sync."""
        if not self.pending.queue:
            return
        if not self.leads:
            self.pending.fail_queue(self.not_leader())
            return
        if not self.state.outbox.is_synced:
            return
        if awaits_voters(self.state, self.now()):
            return
        self.state_log.note_commands(self.state)
        batch = self.pending.take_batch(self.state.limits.batch_entries)
        first = append_commands(
            self.state,
            [proposal.command for proposal in batch],
            self.loop.scheduler.clock.unix_ms(),
            self.now(),
        )
        for index, proposal in enumerate(batch, start=first):
            self.pending.record_appended(index, self.state.term, proposal.done)
        self.handle_effects()

    def not_leader(self) -> Problem:
        return Problem(ResultCode.NOT_LEADER, where=self.leader)

    # -- effects ----------------------------------------------------------

    def handle_effects(self) -> None:
        """Execute the collected effects.

        Those on the state machine keep their order and may be executed in
        later iterations of the event loop. Callbacks may call this
        recursively; the outermost call handles the effects they add, so that
        the order is preserved.
        """
        if self.handling:
            return
        self.handling = True
        try:
            self.handle_outbox()
            while self.active and self.machine_effects.run_slice():
                self.handle_outbox()
        except Exception as error:
            LOG.exception('effect_failed')
            self.halt(Problem(ResultCode.STORAGE_FAILED, repr(error)))
        finally:
            self.handling = False
        self.notify_leader_change()
        self.state_log.note_voters(self.state)

    def notify_leader_change(self) -> None:
        if self.leader != self.reported_leader:
            self.reported_leader = self.leader
            LOG.info('leader_known', leader=self.leader, term=self.state.term)
            for hook in self.leader_hooks:
                hook(self.leader)

    def handle_outbox(self) -> None:
        while self.active and self.state.outbox.effects:
            self.handle_batch(self.state.outbox.take())

    def handle_batch(self, effects: list) -> None:
        writes = [e for e in effects if hasattr(e, 'ticket')]
        if writes:
            self.sync.write(writes)
        for effect in effects:
            if isinstance(effect, MACHINE_EFFECTS):
                self.machine_effects.add(effect)
            elif not hasattr(effect, 'ticket'):
                EFFECT_HANDLERS.get(type(effect).__name__)(self, effect)


def make_limits(settings: ReplicaSettings) -> Limits:
    return Limits(
        election=settings.election_ms / MILLISECONDS,
        heartbeat=settings.heartbeat_ms / MILLISECONDS,
        snapshot_entries=settings.snapshot_entries,
        snapshot_bytes=settings.snapshot_bytes,
        wanted_voters=settings.wanted_voters,
        founding=settings.founding_seconds,
    )
