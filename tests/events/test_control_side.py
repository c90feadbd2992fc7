"""Document server, commands and queries over a scripted replica."""

import json
import random

import pytest
from returns.result import Failure

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.border import Publication
from cyclamenlift.events.border import read_border
from cyclamenlift.events.border import StorageReplacement
from cyclamenlift.events.commands import publish
from cyclamenlift.events.commands import replace_storage
from cyclamenlift.events.queries import history
from cyclamenlift.events.queries import show
from cyclamenlift.events.reports import report_to_json
from cyclamenlift.events.server import DocumentServer
from cyclamenlift.events.server import LINKS_TOLD
from cyclamenlift.events.server import MOST_TOLD_BYTES
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from tests.events.builders import control_context
from tests.events.builders import document
from tests.events.builders import FakeLink
from tests.events.builders import FakeNetwork

TEXT = document('morning').decode()


def publication(change_id='x', base=0, text=TEXT) -> Publication:
    return Publication(document=text, base_version=base, change_id=change_id)


def run(command, context, *arguments):
    """Run a command or query and return its one report."""
    reports = []
    command(context, *arguments, reports.append)
    context.replica.finish_reads()
    (report,) = reports
    return json.loads(report_to_json(report))


def server_of(context, **fields) -> DocumentServer:
    return DocumentServer(
        FakeNetwork(),
        context.replica,
        context.store,
        'a',
        random.Random(1),
        **fields,
    )


def test_publish_show_and_history_share_one_store():
    context = control_context()
    assert run(publish, context, publication())['code'] == 5000
    conflict = run(publish, context, publication('y'))
    assert (conflict['code'], conflict['current_version']) == (5001, 1)
    shown = run(show, context, 0)
    assert shown['confirmed']
    assert json.loads(shown['document'])['event'] == 'morning'
    assert run(show, context, 9)['code'] == ResultCode.NOT_FOUND
    assert run(history, context, 5)['versions'][0]['change_id'] == 'x'


@pytest.mark.parametrize(
    'text, path',
    [
        ('event: [', ''),
        ('{}', 'event'),
        (TEXT.replace('"prices"', '"P!"'), 'services[0].name'),
    ],
)
def test_a_wrong_document_names_the_field_and_changes_nothing(text, path):
    context = control_context()
    report = run(publish, context, publication(text=text))
    assert report['code'] == ResultCode.DOCUMENT_INVALID
    assert path in [problem['path'] for problem in report['problems']]
    assert all(problem['detail'] for problem in report['problems'])
    assert context.store.version == 0
    assert context.replica.index == 0


@pytest.mark.parametrize(
    'leader, failing, code',
    [
        ('b', None, ResultCode.NOT_LEADER),
        ('', None, ResultCode.NOT_LEADER),
        ('a', ResultCode.NOT_LEADER, ResultCode.NOT_LEADER),
        ('a', ResultCode.CHANGE_UNKNOWN, ResultCode.CHANGE_UNKNOWN),
    ],
)
def test_a_change_that_was_not_taken_says_what_is_known(leader, failing, code):
    context = control_context(leader)
    context.replica.failing = failing
    report = run(publish, context, publication())
    assert report['code'] == code
    assert report['leader'] == ('b' if leader == 'b' else '')


@pytest.mark.parametrize(
    'leader, failing, code',
    [
        ('a', None, ResultCode.STORAGE_REPLACED),
        ('b', None, ResultCode.NOT_LEADER),
        ('a', ResultCode.STORAGE_REFUSED, ResultCode.STORAGE_REFUSED),
    ],
)
def test_replacing_a_storage(leader, failing, code):
    context = control_context(leader)
    context.replica.failing = failing
    order = StorageReplacement(instance='b', storage_id='s')
    assert run(replace_storage, context, order)['code'] == code


@pytest.mark.parametrize(
    'body, where',
    [
        (b'', ''),
        (b'[]', ''),
        (b'{"document":"x","base_version":0}', 'change_id'),
        (b'{"document":"x","base_version":-1,"change_id":"a"}', 'base_v'),
        (b'{"document":"x","base_version":0,"change_id":"a","z":1}', 'z'),
    ],
)
def test_a_wrong_order_names_its_field(body, where):
    result = read_border(Publication, body)
    assert isinstance(result, Failure)
    assert result.failure().where.startswith(where)


@pytest.mark.parametrize('query', [show, history])
def test_a_follower_or_an_isolated_leader_confirms_nothing(query):
    follower = control_context(leader='b')
    assert not run(query, follower, 1)['confirmed']
    isolated = control_context()
    reports = []
    query(isolated, 1, reports.append)
    isolated.replica.finish_reads(confirmed=False)
    assert not reports[0].confirmed


@pytest.mark.parametrize('confirmed', [True, False])
def test_the_leader_answers_after_a_majority_read(confirmed):
    context = control_context()
    run(publish, context, publication())
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert link.sent == []
    context.replica.finish_reads(confirmed)
    assert link.sent[0].committed == confirmed
    assert link.sent[0].version == 1


def test_a_request_during_a_read_waits_for_the_next():
    context = control_context()
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    server.on_request(link, DocumentRequest(2, 0))
    server.on_request(link, DocumentRequest(3, 0))
    context.replica.finish_reads()
    assert [answer.request_id for answer in link.sent] == [1]
    context.replica.finish_reads()
    assert [answer.request_id for answer in link.sent] == [1, 2, 3]


def test_a_follower_answers_at_once_unconfirmed():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].committed


def test_a_new_version_goes_to_a_few_unasked():
    context = control_context(leader='b')
    server = server_of(context)
    links = [FakeLink(number=number) for number in range(40)]
    for link in links:
        server.on_request(link, DocumentRequest(1, 0))
    context.replica.leader = 'a'
    run(publish, context, publication())
    server.tell(1)
    told = [link for link in links if len(link.sent) == 2]
    assert len(told) == LINKS_TOLD
    assert told[0].sent[1].packed_document
    server.on_link_lost(links[0])
    assert len(server.links) == 39


def test_who_asked_before_there_was_a_leader_hears_from_it_once_it_leads():
    # The load: after a restart of all, daemons wait for just that.
    context = control_context(leader='')
    server = server_of(context)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert [a.committed for a in link.sent] == [False]
    context.replica.elect('a')
    context.replica.finish_reads()
    assert [a.committed for a in link.sent] == [False, True]
    context.replica.elect('a')
    assert not context.replica.barriers


def test_a_follower_that_knows_only_ways_of_its_own_names_no_leader():
    # Regression: a daemon that was cut off went around the cut on the way
    # that control instances have to each other.
    context = control_context(leader='b')
    server = server_of(context)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].leader_address


def test_a_follower_names_the_leader_also_to_who_asked_before():
    context = control_context(leader='')
    server = server_of(context, names_leader=True)
    link = FakeLink()
    server.on_request(link, DocumentRequest(1, 0))
    assert not link.sent[0].leader_address
    context.replica.elect('b')
    assert link.sent[1].leader_address == '10.0.0.1:7100'
    server.on_request(link, DocumentRequest(2, 0))
    assert link.sent[2].leader_address == '10.0.0.1:7100'
    assert not any(a.committed for a in link.sent)


def takes_changes(known) -> DocumentRequest:
    return DocumentRequest(1, known, takes_changes=True)


def test_who_takes_changes_gets_those_that_he_lacks():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, takes_changes(0))
    context.replica.leader = 'a'
    for base in range(3):
        text = document(f'v{base}').decode()
        run(publish, context, publication(f'x{base}', base, text))
        server.tell(base + 1)
    context.replica.leader = 'b'
    link.sent.clear()
    for known in (0, 1, 2, 3):
        server.on_request(link, takes_changes(known))
    steps = [
        [(c.base_version, c.version) for c in answer.changes]
        for answer in link.sent
    ]
    assert steps == [[(0, 3)], [(1, 2), (2, 3)], [(2, 3)], []]
    assert not any(answer.packed_document for answer in link.sent)


def test_who_only_asks_for_the_version_gets_no_document():
    context = control_context(leader='b')
    context.replica.leader = 'a'
    run(publish, context, publication())
    context.replica.leader = 'b'
    server, link = server_of(context), FakeLink()
    request = DocumentRequest(1, 0, takes_changes=True, without_document=True)
    server.on_request(link, request)
    (answer,) = link.sent
    assert (answer.version, answer.changes) == (1, [])
    assert not answer.packed_document


def test_a_large_change_is_named_and_a_small_one_is_sent_unasked():
    context = control_context(leader='b')
    server, link = server_of(context), FakeLink()
    server.on_request(link, takes_changes(0))
    context.replica.leader = 'a'
    noise = random.Random(1).randbytes(MOST_TOLD_BYTES).hex()
    texts = [document('one').decode(), document('two').decode()]
    texts.append(texts[1].replace('/sale', f'/{noise}'))
    for base, text in enumerate(texts):
        run(publish, context, publication(f'x{base}', base, text))
        server.tell(base + 1)
    told = [(answer.version, len(answer.changes)) for answer in link.sent[1:]]
    assert told == [(1, 0), (2, 1), (3, 0)]


def test_a_store_that_begins_anew_begins_its_history_anew():
    context = control_context(leader='a')
    run(publish, context, publication())
    server = server_of(context)
    assert server.newest().version == 1
    context.replica.machine.restore(ControlStateMachine().snapshot())
    assert server.newest().version == 0
