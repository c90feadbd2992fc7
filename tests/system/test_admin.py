"""Admin pages of a running daemon."""

from cyclamenlift.standins.fleet import http_request
from cyclamenlift.standins.fleet import temporary_fleet
from tests.system.builders import call
from tests.system.builders import document
from tests.system.builders import entry_of
from tests.system.builders import make_fleet
from tests.system.builders import publish


def sample(text: str, prefix: str) -> float:
    """Return the value of the first metric line with this prefix."""
    lines = [line for line in text.splitlines() if line.startswith(prefix)]
    return float(lines[0].rpartition(' ')[2])


def test_admin_pages_count_what_callers_did():
    with temporary_fleet() as fleet:
        make_fleet(fleet, 1)
        publish(fleet, document(), 0, 'c1')
        entry = entry_of(fleet)
        assert {call(entry.entry)[0] for _ in range(12)} == {200}
        text = http_request(entry.admin, 'GET', '/metrics')[2].decode()
        answered = 'cyclamenlift_calls_total{result="answered"'
        assert sample(text, answered) == 12
        assert sample(text, 'cyclamenlift_gossip_sent_bytes_total') > 0
        assert sample(text, 'cyclamenlift_members') == 2
        done = fleet.command(
            'report', 'burn', f'--addresses={entry.admin}', '--json=true'
        )
        assert done.returncode == 0, done.stderr
        assert '"total": 12' in done.stdout
        assert http_request(entry.admin, 'GET', '/drain')[0] == 405
        assert http_request(entry.admin, 'GET', '/nothing')[0] == 404
