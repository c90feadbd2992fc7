"""An upstream starts again after its clock was set back, then leaves."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stage.client import call_once  # noqa: E402
from review.stage.client import new_attempt  # noqa: E402
from review.stage.configurations import configuration  # noqa: E402
from review.stage.configurations import route  # noqa: E402
from review.stage.deployment import CaseUnable  # noqa: E402
from review.stage.deployment import Deployment  # noqa: E402
from review.stage.record import Record  # noqa: E402
from review.stage.upstream import Upstream  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'noleggio'
HOST = 'jepu9.example'
# The time of day jumps back by 2,400 ms, the dose of the site files.
STEP_MS = 2400
DRAIN_SECONDS = 2.0
# ``stability_window``: so long after the jump a machine is not in touch.
STABLE_SECONDS = 3.0
READY_SECONDS = 20.0
# How long the upstream is down and up: it goes down and up each second.
DOWN_SECONDS = 0.4
UP_SECONDS = 0.8


def clock_ms() -> int:
    """Return the time of day of the upstreams' machines."""
    return int(time.time() * 1000)


def restarted(before: Upstream, born_ms: int) -> Upstream:
    """Return another start of an upstream, which knows nothing of before."""
    return Upstream(
        before.record,
        before.host,
        before.port,
        before.control,
        before.zone,
        before.service,
        before.name,
        born_ms=born_ms,
    )


async def wait_until_served(deployment: Deployment, machine) -> None:
    """Wait until an entry serves the service."""
    deadline = time.monotonic() + READY_SECONDS
    address = (machine.host, deployment.outbound)
    while time.monotonic() < deadline:
        status = await call_once(
            address, 'GET', HOST, '/unlock/ready', new_attempt(), 1000
        )
        if status == 200:
            return
        await asyncio.sleep(0.1)
    raise CaseUnable('the service was not served')


async def send_steadily(deployment, record, stop: asyncio.Event) -> list:
    """Send requests from each machine until told to stop."""
    answers = []

    async def one(machine) -> None:
        attempt = new_attempt()
        path = f'/unlock/{attempt}'
        began = time.monotonic()
        address = (machine.host, deployment.outbound)
        status = await call_once(
            address, 'POST', HOST, path, attempt, 1000, b'unlock'
        )
        answers.append((began, attempt, status))
        record.write('answer', attempt=attempt, status=status)

    tasks = []
    while not stop.is_set():
        tasks.append(asyncio.create_task(one(random.choice(deployment.side))))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return answers


async def play(deployment: Deployment, record: Record) -> bool:
    """Return whether the rule held."""
    upstreams = []
    for number, machine in enumerate(deployment.side):
        upstream = Upstream(
            record,
            machine.host,
            deployment.app,
            deployment.control,
            machine.zone,
            SERVICE,
            f'i-{number}{random.getrandbits(28):07x}',
            born_ms=clock_ms(),
        )
        await upstream.start()
        upstreams.append(upstream)
    value = configuration(
        1,
        [SERVICE],
        {HOST: [route('r-1', '/unlock/', 'non_idempotent', SERVICE)]},
    )
    hosts = [m.host for m in deployment.core]
    status = await asyncio.to_thread(
        deployment.order, '/v1/Config.Replace', value, 0, hosts, 20.0
    )
    record.write('first_configuration', status=status)
    if status != 200:
        raise CaseUnable('the first configuration was not confirmed')
    for machine in deployment.side:
        await wait_until_served(deployment, machine)
    stop = asyncio.Event()
    sending = asyncio.create_task(send_steadily(deployment, record, stop))
    await asyncio.sleep(3.0)
    # The upstream of the first machine goes down and comes up twice, under
    # the id that it had. With the trouble, the time of day of its machine is
    # set back between the two starts.
    first = upstreams[0]
    await first.end()
    await asyncio.sleep(DOWN_SECONDS)
    second = restarted(first, clock_ms())
    await second.start()
    await asyncio.sleep(UP_SECONDS)
    await second.end()
    await asyncio.sleep(DOWN_SECONDS)
    step_ms = STEP_MS if TROUBLE else 0
    stepped_at = time.monotonic()
    again = restarted(second, clock_ms() - step_ms)
    await again.start()
    await asyncio.sleep(2.0)
    confirmed_at = await again.say_leaving()
    record.write('leave_confirmed', upstream=again.name)
    # It serves for ``drain`` and a little longer, then it is gone.
    await asyncio.sleep(DRAIN_SECONDS + 3.0)
    stop.set()
    answers = await sending
    late = [
        (moment, attempt)
        for moment, attempt, _ in again.ran
        if moment > confirmed_at + DRAIN_SECONDS
        and moment > stepped_at + STABLE_SECONDS
    ]
    for moment, attempt in late:
        record.write(
            'reached_late',
            attempt=attempt,
            after=round(moment - confirmed_at, 3),
        )
    for upstream in (again, *upstreams[1:]):
        await upstream.end()
    counts: dict[int, int] = {}
    for _, _, status in answers:
        counts[status] = counts.get(status, 0) + 1
    after = sum(moment > confirmed_at for moment, _, _ in again.ran)
    record.write(
        'result',
        trouble=TROUBLE,
        statuses={str(k): v for k, v in sorted(counts.items())},
        ran_after_confirmation=after,
        ran_after_drain=len(late),
    )
    if counts.get(200, 0) < 100:
        raise CaseUnable('too little was served')
    return not late


def main() -> int:
    record = Record(FOLDER)
    deployment = Deployment(3, [SERVICE] * 3)
    try:
        deployment.start_all()
        held = asyncio.run(play(deployment, record))
    except (CaseUnable, OSError) as error:
        record.write('unable', error=str(error))
        return 2
    finally:
        deployment.close()
        record.close()
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
