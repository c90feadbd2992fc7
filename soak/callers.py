"""Callers that keep their connections until the process is gone."""

import http.client
import random
import threading
import time

from cyclamenlift.standins.answers import AnswerFault
from cyclamenlift.standins.answers import check_answer
from soak.records import Outcome
from soak.records import Record

SERVICE = 'prices'
TIMEOUT_SECONDS = 5.0
CALL_MS = '2000'


class Caller:
    """Sends calls of one account to one entry, one after the other."""

    def __init__(
        self,
        name: str,
        address: str,
        account: str,
        key: str,
        gap: float,
        record: Record,
        rng: random.Random,
    ):
        self.name = name
        self.address = address
        self.account = account
        self.key = key
        self.gap = gap
        self.record = record
        self.rng = rng
        self.number = 0
        self.connection: http.client.HTTPConnection | None = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.stopping = threading.Event()

    def run(self) -> None:
        while not self.stopping.wait(self.rng.expovariate(1.0 / self.gap)):
            self.record.outcomes.append(self.call())

    def stop(self) -> None:
        self.stopping.set()
        self.thread.join(2 * TIMEOUT_SECONDS)

    def call(self) -> Outcome:
        """Send one call; one in four is a booking."""
        self.number += 1
        call_id = f'{self.name}-{self.number}'
        booking = self.rng.random() < 0.25
        sent_at = time.monotonic()
        try:
            status, code, body = self.exchange(call_id, booking)
        except (OSError, http.client.HTTPException):
            self.disconnect()
            status, code, body = 0, 0, b''
        whole = check_answer(body, call_id) is AnswerFault.NONE
        return Outcome(
            self.account,
            call_id,
            booking,
            sent_at,
            time.monotonic(),
            status,
            code,
            whole,
        )

    def exchange(self, call_id: str, booking: bool) -> tuple[int, int, bytes]:
        """Send a request on the open connection and read its answer."""
        if self.connection is None:
            host, _, port = self.address.rpartition(':')
            self.connection = http.client.HTTPConnection(
                host, int(port), timeout=TIMEOUT_SECONDS
            )
        headers = {
            'Host': SERVICE,
            'X-Request-Id': call_id,
            'Cyclamenlift-Key': self.key,
            'Cyclamenlift-Timeout-Ms': CALL_MS,
        }
        method = 'POST' if booking else 'GET'
        if booking:
            headers['Idempotency-Key'] = call_id
        self.connection.request(method, '/prices', headers=headers)
        response = self.connection.getresponse()
        body = response.read()
        if response.will_close:
            self.disconnect()
        code = int(response.headers.get('Cyclamenlift-Result', '0'))
        return response.status, code, body

    def disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
