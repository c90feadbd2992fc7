"""Ablation runs: which are still missing, and the table of results."""

from bench.ablation import ALL_ENABLED
from bench.ablation import DayRun
from bench.ablation import execute_missing_runs
from bench.ablation import list_runs
from bench.ablation import read_score
from bench.ablation import Results
from bench.ablation import table

PAIRS = ['here/a.toml heavy']


def test_completed_runs_are_not_repeated(tmp_path):
    path = tmp_path / 'results.json'
    results = Results(path)
    results.record(DayRun('here/a.toml', 'heavy', ALL_ENABLED), 0.5)
    executed = []

    def run(day_run: DayRun) -> float:
        executed.append(day_run.without)
        return 0.4

    execute_missing_runs(list_runs(PAIRS, ['hedges']), Results(path), 2, run)
    assert executed == ['hedges']
    assert len(Results(path).scores) == 2


def test_a_run_without_result_stays_missing(tmp_path):
    results = Results(tmp_path / 'results.json')
    execute_missing_runs(list_runs(PAIRS, []), results, 1, lambda _one: None)
    assert results.scores == {}
    assert read_score('the day was given up') is None


def test_the_table_shows_the_change_without_each_mechanism(tmp_path):
    results = Results(tmp_path / 'results.json')
    runs = list_runs(PAIRS, ['hedges', 'ejection'])
    results.record(runs[0], 0.5)
    results.record(runs[1], 0.45)
    text = table(runs, results)
    assert '| all on | 0.500 |' in text
    assert '| hedges | -0.050 | -0.050 | 0.000 |' in text
    assert '| ejection | not run |' in text
