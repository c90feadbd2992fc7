"""A server (upstream) of the platform as a process of its own.

It follows the pages: it checks in with the daemon of its machine, answers its
health path, refuses requests meant for another server with 421, and echoes
``Attempt-Id``. What it receives and runs is written to a file, one JSON value
a line.
"""

import argparse
import http.client
import http.server
import json
import os
import pathlib
import signal
import socketserver
import threading
import time

HEARTBEAT_SECONDS = 1.5
PIECE_BYTES = 30_000


class Record:
    """Appends events to a file; times are of the monotonic clock."""

    def __init__(self, path: str):
        self.file = pathlib.Path(path).open('a', buffering=1)
        self.lock = threading.Lock()

    def write(self, event: str, **fields) -> None:
        value = {'at': round(time.monotonic(), 4), 'event': event, **fields}
        with self.lock:
            self.file.write(json.dumps(value) + '\n')


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """The listener of one server."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, options):
        host, port = options.address.rsplit(':', 1)
        self.options = options
        self.record = Record(options.record)
        self.running = 0
        self.lock = threading.Lock()
        self.state = 'ready'
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        super().__init__((host, int(port)), Handler)

    def count(self, change: int) -> None:
        with self.lock:
            self.running += change

    def load(self) -> str:
        return f'{self.running},0,{self.options.slots},100'

    def check_in(self) -> bool:
        """Send one check-in; return whether it was acknowledged."""
        options = self.options
        self.sequence += 1
        body = json.dumps(
            {
                'service': options.service,
                'address': options.address,
                'zone': options.zone,
                'version': 'v1',
                'slots': options.slots,
                'state': self.state,
                'cold_left': '0ms',
                'seq': self.sequence,
                'born': self.born,
            }
        )
        return self.call_control(f'/v1/Instances.Heartbeat/{options.id}', body)

    def drain(self) -> None:
        """End as planned: report it, serve on for a while, exit."""
        self.state = 'draining'
        while not self.check_in():
            time.sleep(0.3)
        self.record.write('drain_acknowledged')
        time.sleep(self.options.linger)
        body = json.dumps({'born': self.born})
        self.call_control(f'/v1/Instances.Deregister/{self.options.id}', body)
        self.record.write('exits')
        os._exit(0)

    def call_control(self, path: str, body: str = '') -> bool:
        """Call the daemon of this machine; return whether it said 200."""
        host, port = self.options.control.rsplit(':', 1)
        own = self.options.address.rsplit(':', 1)[0]
        connection = http.client.HTTPConnection(
            host, int(port), timeout=1.0, source_address=(own, 0)
        )
        try:
            headers = {'Content-Type': 'application/json'}
            connection.request('POST', path, body, headers)
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.record.write('told', path=path, body=body, status=status)
        return status == 200

    def check_in_for_ever(self) -> None:
        while True:
            acknowledged = self.check_in()
            time.sleep(HEARTBEAT_SECONDS if acknowledged else 0.3)


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = 'HTTP/1.1'
    server: Server

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(6, 1, 1)

    def log_message(self, *_args) -> None:
        """Log nothing: the record tells more."""

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            self.server.record.write('connection_lost')

    def read_body(self) -> bytes:
        length = int(self.headers.get('Content-Length') or 0)
        return self.rfile.read(length)

    def answer(self, status: int, body: bytes, **headers: str) -> None:
        self.start(status, len(body), **headers)
        self.wfile.write(body)

    def start(self, status: int, length: int, **headers: str) -> None:
        self.send_response(status)
        self.send_header('Content-Length', str(length))
        self.send_header('Server-Load', self.server.load())
        call_id = self.headers.get('Attempt-Id')
        if call_id:
            self.send_header('Attempt-Id', call_id)
        for name, value in headers.items():
            self.send_header(name.replace('_', '-'), value)
        self.end_headers()

    def do_GET(self) -> None:
        options = self.server.options
        if self.path == '/health':
            status = 200 if self.server.state == 'ready' else 503
            self.answer(status, b'', Instance_Id=options.id)
            return
        self.run()

    def do_POST(self) -> None:
        self.run()

    def do_DELETE(self) -> None:
        self.run()

    def run(self) -> None:
        """Run a request, unless it is meant for another server."""
        options = self.server.options
        body = self.read_body()
        wanted = self.headers.get('Target-Instance', options.id)
        fields = {
            'id': self.headers.get('Attempt-Id', ''),
            'method': self.command,
            'path': self.path,
            'bytes': len(body),
            'server': options.id,
        }
        if wanted != options.id:
            self.server.record.write('rejected', wanted=wanted, **fields)
            self.answer(421, b'', Not_Executed='1')
            return
        self.server.record.write('ran', **fields)
        self.server.count(1)
        try:
            self.work()
        finally:
            self.server.count(-1)
        self.server.record.write('answered', **fields)

    def work(self) -> None:
        """Answer after the work; large answers leave in pieces."""
        options = self.server.options
        time.sleep(options.work)
        left = options.answer_bytes
        pieces = max(1, -(-left // PIECE_BYTES))
        self.start(200, left, Response_Stamp=f'proof-{os.getpid()}')
        for number in range(pieces):
            if number:
                time.sleep(options.answer_seconds / pieces)
            size = min(PIECE_BYTES, left)
            left -= size
            self.wfile.write(b'x' * size)


def read_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser()
    for name in ('id', 'service', 'zone', 'address', 'control', 'record'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--slots', type=int, default=18)
    parser.add_argument('--work', type=float, default=0.05)
    parser.add_argument('--answer-bytes', type=int, default=400)
    parser.add_argument('--answer-seconds', type=float, default=0.0)
    parser.add_argument('--linger', type=float, default=2.5)
    return parser.parse_args()


def main() -> None:
    """Serve until SIGTERM."""
    server = Server(read_options())
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(
        signal.SIGUSR1,
        lambda *_: threading.Thread(target=server.drain, daemon=True).start(),
    )
    threading.Thread(target=server.check_in_for_ever, daemon=True).start()
    server.serve_forever()


if __name__ == '__main__':
    main()
