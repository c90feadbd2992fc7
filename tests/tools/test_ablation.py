"""Plays without a mechanism: what is left to play, and the table."""

from bench.ablation import ALL
from bench.ablation import Play
from bench.ablation import read_worth
from bench.ablation import Results
from bench.ablation import run_plays
from bench.ablation import table
from bench.ablation import wanted

PAIRS = ['here/a.toml heavy']


def test_what_is_done_is_not_played_again(tmp_path):
    path = tmp_path / 'results.json'
    results = Results(path)
    results.note(Play('here/a.toml', 'heavy', ALL), 0.5)
    played = []

    def run(one: Play) -> float:
        played.append(one.without)
        return 0.4

    run_plays(wanted(PAIRS, ['hedges']), Results(path), 2, run)
    assert played == ['hedges']
    assert len(Results(path).worth) == 2


def test_a_play_without_result_is_left_for_the_next_run(tmp_path):
    results = Results(tmp_path / 'results.json')
    run_plays(wanted(PAIRS, []), results, 1, lambda _one: None)
    assert results.worth == {}
    assert read_worth('the day was given up') is None


def test_the_table_tells_what_is_lost_without_each(tmp_path):
    results = Results(tmp_path / 'results.json')
    plays = wanted(PAIRS, ['hedges', 'ejection'])
    results.note(plays[0], 0.5)
    results.note(plays[1], 0.45)
    text = table(plays, results)
    assert '| all on | 0.500 |' in text
    assert '| hedges | -0.050 | -0.050 | 0.000 |' in text
    assert '| ejection | not run |' in text
