"""Safety under lost, duplicated and reordered messages, crashes, disk loss.

The first test runs the stateful model. The second one breaks one rule of
the protocol at a time and checks that the model detects it; steps unrelated
to the broken rule are omitted there, so that it takes fewer examples.
"""

import dataclasses

import pytest

import cyclamenlift.replication.commits as commits
from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.effects import TakeSnapshot
import cyclamenlift.replication.elections as elections
import cyclamenlift.replication.following as following
from cyclamenlift.replication.log import Log
from cyclamenlift.replication.message_handlers import InvariantError
from cyclamenlift.replication.progress import Leadership
from cyclamenlift.replication.voters import Configuration
from cyclamenlift.replication.voters import Voters
from tests.replication import builders
from tests.replication.builders import MACHINE_EFFECTS
from tests.replication.builders import SafetyViolation
from tests.replication.model import LaggingModel
from tests.replication.model import Model
from tests.replication.model import run_model


def test_safety_holds_under_mixed_failures():
    run_model(300)


# Guards against snapshots, reads and installed states that are out of order
# with entries that are committed and not applied yet.
def test_safety_holds_while_state_machines_are_behind():
    run_model(300, LaggingModel)


@pytest.mark.parametrize('effect', [TakeSnapshot, ReadReady])
def test_model_detects_an_effect_out_of_order(monkeypatch, effect):
    others = [kind for kind in MACHINE_EFFECTS if kind is not effect]
    monkeypatch.setattr(builders, 'MACHINE_EFFECTS', others)
    with pytest.raises(SafetyViolation):
        run_model(300, LaggingModel)


def always(*_args):
    return True


def send_at_once(state, to, answer):
    state.outbox.send(to, answer)


def ack_at_once(state, sender, request, last):
    answer = following.make_answer(state, request, True, last)
    state.outbox.send(sender, answer)


def append_as_durable(self, entries, ticket):
    self.entries.extend(entries)
    self.durable_index = self.last_index


def count_names(self, present):
    held = sum(name in present for name in self.storage_ids)
    return held > len(self.storage_ids) // 2


def bootstrap_by_majority(self, present):
    return len(present) > len(self.names) // 2


LATEST_ONLY = property(lambda self: self.history[-1:])


def confirm_any_round(self, progress, round_id):
    progress.acked_round = self.round_id
    progress.contact_at = max(self.round_started.values())


DISK_RULES = (
    'lose_disk',
    'lose_and_replace_disk',
    'old_disk_comes_back',
    'replace_disk',
)
NOT_READING = (
    *DISK_RULES,
    'crash',
    'deliver_one_way',
    'elect',
    'exchange',
    'deliver_one',
    'lose_messages',
    'propose_to_all',
    'sync',
)
NOT_FOUNDING = (
    *DISK_RULES[1:],
    'found',
    'exchange_all',
    'propose_to_all',
    'read',
    'deliver_one_way',
)


@dataclasses.dataclass(frozen=True)
class BrokenRule:
    """A protocol rule to break, and the model steps to omit."""

    owner: object
    name: str
    broken: object
    without: tuple[str, ...] = DISK_RULES


BROKEN_RULES = {
    'vote_before_sync': BrokenRule(elections, 'send_vote', send_at_once),
    'ack_before_sync': BrokenRule(following, 'send_ack', ack_at_once),
    'own_copy_before_sync': BrokenRule(Log, 'append', append_as_durable),
    'old_term_commits': BrokenRule(commits, 'may_commit', always),
    'vote_for_shorter_log': BrokenRule(elections, 'is_log_up_to_date', always),
    'old_round_confirms_read': BrokenRule(
        Leadership, 'record_answer', confirm_any_round, NOT_READING
    ),
    'empty_disk_counts': BrokenRule(
        Configuration, 'has_majority', count_names, ()
    ),
    'majority_founds': BrokenRule(
        Voters, 'can_bootstrap', bootstrap_by_majority, NOT_FOUNDING
    ),
    'old_voters_forgotten_early': BrokenRule(
        Voters, 'active', LATEST_ONLY, ('lose_disk', 'crash', 'read')
    ),
}


@pytest.mark.parametrize('rule', BROKEN_RULES)
def test_model_detects_a_broken_rule(rule, monkeypatch):
    case = BROKEN_RULES[rule]
    monkeypatch.setattr(case.owner, case.name, case.broken)
    model = type(rule, (Model,), dict.fromkeys(case.without))
    with pytest.raises((SafetyViolation, InvariantError)):
        run_model(2000, model)
