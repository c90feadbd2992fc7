"""The console ends in one validated document, and keeps the form."""

import json

import pytest

from cyclamenlift.core.codes import ResultCode
from tests.console.builders import canonical
from tests.console.builders import Console
from tests.console.builders import DOCUMENT
from tests.console.builders import fields_of


def changed(**values) -> dict:
    return {**DOCUMENT, **values}


def test_form_of_a_document_gives_back_the_same_document():
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    answer = console.post('/edit', {**fields, 'action': 'publish'})
    assert b'Version 2 is accepted' in answer.body
    assert console.port.versions == [canonical(DOCUMENT)] * 2
    (change,) = console.port.published
    assert change.base_version == 1 and change.change_id


def test_first_document_starts_from_an_empty_form():
    console = Console()
    assert console.get('/').status == 200
    fields = fields_of(console.get('/edit'))
    fields.update(
        {
            'event': 'first',
            'starts_at': '2026-12-02T06:00:00+03:00',
            'ends_at': '2026-12-02T07:00:00+03:00',
            'services[0].name': 'price',
            'action': 'publish',
        }
    )
    assert b'Version 1 is accepted' in console.post('/edit', fields).body
    assert b'<h1>first</h1>' in console.get('/').body


@pytest.mark.parametrize(
    'path, text, detail',
    [
        ('event', 'Not A Name', 'String should match pattern'),
        ('starts_at', 'soon', 'valid datetime'),
        ('starts_at', '2026-12-02T06:00:00', 'a time needs an offset'),
        ('services[1].deadline_ms', 'x', 'valid integer'),
        ('services[1].deadline_ms', '0', 'greater than or equal to 1'),
        ('services[0].hedge', 'perhaps', 'valid boolean'),
        ('services[0].policy', 'fastest', 'Input should be'),
        ('services[0].data_centres', 'a, B!', 'String should match'),
        ('services[0].targets', '', 'at least 1 item'),
        ('services[0].operations[1].path', 'notes', 'must start with /'),
        ('services[0].objective.percent', '100', 'less than 100'),
    ],
)
@pytest.mark.parametrize('action', ['publish', 'check'])
def test_wrong_field_comes_back_marked_and_the_form_kept(
    path, text, detail, action
):
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    fields.update({path: text, 'operator_name': 'Ada', 'action': action})
    answer = console.post('/edit', fields)
    assert answer.status == 422
    again = fields_of(answer)
    kept = {k: v for k, v in fields.items() if k not in ('action', path)}
    assert {name: again[name] for name in kept} == kept
    page = answer.body.decode()
    _, _, after = page.partition(f' name="{path}"')
    marked = after.partition('class="error"')[2].partition('</div>')[0]
    assert detail in marked
    assert again[path] == text
    assert len(console.port.versions) == 1


def test_error_of_the_whole_document_is_shown():
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    fields.update({'services[1].name': 'price', 'action': 'publish'})
    answer = console.post('/edit', fields)
    assert b'service named twice: price' in answer.body


@pytest.mark.parametrize(
    'action, names, operations',
    [
        ('add-service', ['price', 'billing', ''], 2),
        ('remove-service:0', ['billing'], 0),
        ('remove-service:9', ['price', 'billing'], 2),
        ('add-operation:0', ['price', 'billing'], 3),
        ('remove-operation:0.0', ['price', 'billing'], 1),
    ],
)
def test_rows_are_added_and_removed_without_publishing(
    action, names, operations
):
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    again = fields_of(console.post('/edit', {**fields, 'action': action}))
    found = [v for k, v in again.items() if k.endswith('].name')]
    assert found == names
    rows = [k for k in again if k.startswith('services[0].operations')]
    assert len(rows) == 3 * operations
    assert not console.port.published


@pytest.mark.parametrize(
    'code, same_id',
    [
        (ResultCode.CHANGE_UNKNOWN, True),
        (ResultCode.NOT_LEADER, True),
        (ResultCode.VERSION_CONFLICT, False),
        (ResultCode.CHANGE_ID_REUSED, False),
    ],
)
def test_change_that_was_not_taken_keeps_the_form(code, same_id):
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    fields['event'] = 'evening'
    console.port.code = code
    answer = console.post('/edit', {**fields, 'action': 'publish'})
    again = fields_of(answer)
    assert f'({int(code)})'.encode() in answer.body
    assert again['event'] == 'evening'
    assert (again['change_id'] == fields['change_id']) is same_id


def test_conflict_can_be_put_on_the_newer_version_after_a_look():
    console = Console(DOCUMENT, changed(event='other'))
    fields = fields_of(console.get('/edit?version=1'))
    assert fields['base_version'] == '2' and fields['event'] == 'morning'
    fields['base_version'] = '1'
    rebased = fields_of(console.post('/edit', {**fields, 'action': 'rebase'}))
    assert rebased['base_version'] == '2'
    assert rebased['event'] == 'morning'
    assert not console.port.published


def test_document_as_text_fills_the_form():
    console = Console(DOCUMENT)
    fields = fields_of(console.get('/edit'))
    fields['document_text'] = json.dumps(changed(event='pasted'))
    again = fields_of(console.post('/edit', {**fields, 'action': 'take-text'}))
    assert again['event'] == 'pasted' and not console.port.published
    fields['document_text'] = 'a: ['
    answer = console.post('/edit', {**fields, 'action': 'take-text'})
    assert answer.status == 422 and fields_of(answer)['event'] == 'morning'


@pytest.mark.parametrize(
    'fields',
    [
        {'action': 'publish'},
        {'base_version': '-1', 'action': 'publish'},
        {'base_version': '1', 'action': 'explode'},
        {'base_version': '1', 'services': 'x', 'action': 'check'},
        {'base_version': '1', 'event': 'a', 'event.b': 'c', 'action': 'check'},
        {'base_version': '1', 'a[0]': 'x', 'a.b': 'y', 'action': 'check'},
        {'base_version': '1', 'a.b.c.d.e.f.g': 'x', 'action': 'check'},
        {'base_version': '1', 'Class': 'x', 'action': 'check'},
        {'base_version': '1', 'services[0]': 'x', 'action': 'add-service'},
        {'base_version': '1', 'change_id': '', 'action': 'publish'},
    ],
)
def test_malformed_form_is_refused_and_nothing_published(fields):
    console = Console(DOCUMENT)
    answer = console.post('/edit', fields)
    assert answer.status == 400
    assert json.loads(answer.body)['code'] == 4000
    assert not console.port.published


@pytest.mark.parametrize(
    'origin, status',
    [('http://evil', 400), ('null', 400), ('http://a', 200)],
)
def test_form_of_another_place_is_refused(origin, status):
    console = Console(DOCUMENT)
    fields = {**fields_of(console.get('/edit')), 'action': 'publish'}
    answer = console.post('/edit', fields, f'Origin: {origin}')
    assert answer.status == status
    assert len(console.port.published) == (status == 200)


def test_pages_show_versions_history_and_what_is_not_confirmed():
    console = Console(DOCUMENT, changed(event='second'))
    assert b'<h1>second</h1>' in console.get('/').body
    older = console.get('/version?version=1')
    assert b'<h1>morning</h1>' in older.body
    assert b'older version' in older.body
    assert console.get('/version?version=7').status == 404
    history = console.get('/history').body
    assert b'&lt;Ada&gt;' in history and b'<Ada>' not in history
    console.port.leader = 'c2'
    assert b'Not confirmed' in console.get('/').body


def test_new_storage_can_be_counted_and_repair_is_shown():
    console = Console(DOCUMENT)
    page = console.get('/instances')
    for text in (b'whole', b'does not count yet', b'4 of 9'):
        assert text in page.body
    assert page.body.count(b'Let the new storage count') == 1
    fields = fields_of(page)
    answer = console.post('/instances', fields)
    assert console.port.replaced == [('c2', 's2b')]
    assert b'Storage replaced' in answer.body
    assert console.post('/instances', {'x': 'y'}).status == 400


def test_pages_load_nothing_from_elsewhere():
    console = Console(DOCUMENT)
    for path in ('/', '/edit', '/history', '/instances'):
        page = console.get(path)
        assert b"default-src 'none'" in page.head
        assert b'://' not in page.body and b'<script' not in page.body
