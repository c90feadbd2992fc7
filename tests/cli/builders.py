"""Document files and a scripted admin server for command-line tests."""

import http.server
import json
import threading

import pytest

from cyclamenlift.cli.program import run
from tests.models.builders import document_value


def write_document(folder, **fields) -> str:
    """Write a document as JSON (a subset of YAML) and return its path."""
    path = folder / 'event.yaml'
    path.write_text(json.dumps(document_value(**fields)))
    return str(path)


class AdminServer:
    """Answers requests with scripted values; None closes the connection."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        admin_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def handle_any(self):
                admin_server.serve(self)

            do_GET = handle_any
            do_POST = handle_any

            def log_message(self, *_args):
                pass

        self.server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
        self.address = '{}:{}'.format(*self.server.server_address)
        threading.Thread(
            target=self.server.serve_forever, args=(0.01,), daemon=True
        ).start()

    def serve(self, handler) -> None:
        length = int(handler.headers.get('Content-Length') or 0)
        body = handler.rfile.read(length)
        value = json.loads(body) if body else None
        self.requests.append((handler.command, handler.path, value))
        position = min(len(self.requests), len(self.answers))
        answer = self.answers[position - 1]
        if answer is None:
            handler.connection.close()
            return
        data = json.dumps(answer).encode()
        handler.send_response(200)
        handler.send_header('Content-Length', str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def admin():
    """Return a function that starts scripted admin servers."""
    servers = []

    def start(*answers) -> AdminServer:
        servers.append(AdminServer(*answers))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def command(capsys, monkeypatch):
    """Return a function that runs one command.

    It returns the exit status, standard output and standard error.
    """
    for name in ('CONSOLE', 'INSTANCE', 'DATA_CENTRE'):
        monkeypatch.delenv(f'CYCLAMENLIFT_{name}', raising=False)

    def start(*arguments) -> tuple[int, str, str]:
        status = run([str(argument) for argument in arguments])
        out, err = capsys.readouterr()
        return status, out, err

    return start
