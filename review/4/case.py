"""Disks are lost in turn after hundreds of changes of a large configuration."""

import json
import os
import pathlib
import random
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stage.configurations import configuration  # noqa: E402
from review.stage.configurations import route  # noqa: E402
from review.stage.deployment import CaseUnable  # noqa: E402
from review.stage.deployment import Deployment  # noqa: E402
from review.stage.deployment import Machine  # noqa: E402
from review.stage.record import Record  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'intake'
HOST = 'jepu9.example'
# What ``big_config`` adds in the site files.
ROUTES = 1400
CHANGING_SECONDS = 50.0
# "A day may be long and may contain hundreds of changes."
MOST_CHANGES = 900
LEAST_CHANGES = 150
# ``fault_tolerance.machines``: how many disks may be lost at once.
LOST_DISKS = 2
DOWN_SECONDS = 1.2
# ``catch_up``, and a little more: the machines are back and count no more.
CATCH_UP_SECONDS = 4.0
MARGIN_SECONDS = 0.2
RECOVER_SECONDS = 15.0
READ_SECONDS = 10.0
START_SECONDS = 3.0
ORDER_SECONDS = 20.0
# How long the operator waits for one answer; "more for large bodies".
ANSWER_SECONDS = 5.0


def word(size: int) -> str:
    letters = 'abcdefghijklmnopqrstuvwxyz0123456789'
    return ''.join(random.choice(letters) for _ in range(size))


class Operator:
    """Changes one route at a time, each on top of the version before."""

    def __init__(self, deployment: Deployment, record: Record):
        self.deployment = deployment
        self.record = record
        self.hosts = [machine.host for machine in deployment.core]
        self.version = 0
        self.rules = [
            route(
                f'r-{word(7)}',
                f'/{word(7)}/{word(4)}/',
                'idempotent',
                SERVICE,
            )
            for _ in range(ROUTES)
        ]

    def publish(self) -> None:
        value = configuration(1, [SERVICE], {HOST: self.rules})
        self.send('/v1/Config.Replace', value, 1)

    def change(self) -> None:
        """Change the timeout of one route."""
        version = self.version + 1
        rule = dict(random.choice(self.rules))
        rule['timeout'] = f'{1000 + version}ms'
        hosts = [{'host': HOST, 'path_rules': [rule]}]
        value = {'version': version, 'upsert': {'virtual_hosts': hosts}}
        self.send('/v1/Config.Patch', value, version)

    def send(self, path: str, value: dict, version: int) -> None:
        """Send an order until it is confirmed."""
        status = self.deployment.order(
            path,
            value,
            self.version,
            self.hosts,
            ORDER_SECONDS,
            ANSWER_SECONDS,
        )
        self.record.write('order', version=version, status=status)
        if status != 200:
            raise CaseUnable(f'version {version} was not confirmed')
        self.version = version


def lose_disks(
    deployment: Deployment, record: Record, chosen: list[Machine]
) -> None:
    """These machines lose their disks and start again empty."""
    for machine in chosen:
        machine.process.kill()
    for machine in chosen:
        deployment.kill(machine)
        shutil.rmtree(deployment.folder / machine.name)
        record.write('disk_lost', host=machine.host)
    time.sleep(DOWN_SECONDS)
    for machine in chosen:
        deployment.start(machine)
        record.write('back_with_an_empty_disk', host=machine.host)


def read_back(deployment: Deployment, record: Record) -> list[int]:
    """Return the versions that the operator reads at the end."""
    versions = []
    statuses: dict[str, int] = {}
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        for machine in deployment.core:
            status, body = deployment.ask(
                machine.host, '/v1/Config.Get', seconds=ANSWER_SECONDS
            )
            statuses[str(status)] = statuses.get(str(status), 0) + 1
            if status == 200:
                versions.append(json.loads(body)['version'])
        time.sleep(0.2)
    seen = sorted(set(versions))
    record.write('read_back', statuses=statuses, versions=seen)
    return versions


def play(deployment: Deployment, record: Record) -> bool:
    """Return whether the rule held."""
    deployment.start_all()
    time.sleep(START_SECONDS)
    operator = Operator(deployment, record)
    operator.publish()
    deployment.bootstrap = False
    until = time.monotonic() + CHANGING_SECONDS
    while time.monotonic() < until and operator.version < MOST_CHANGES:
        operator.change()
    if operator.version < LEAST_CHANGES:
        raise CaseUnable('this machine is too slow for hundreds of changes')
    if TROUBLE:
        random.shuffle(deployment.core)
        first = deployment.core[:LOST_DISKS]
        lose_disks(deployment, record, first)
        time.sleep(CATCH_UP_SECONDS + MARGIN_SECONDS)
        operator.change()
        lose_disks(deployment, record, [deployment.core[LOST_DISKS]])
    time.sleep(RECOVER_SECONDS)
    running = [m.process.poll() is None for m in deployment.core]
    record.write('recover_is_over', running=running)
    versions = read_back(deployment, record)
    held = bool(versions) and set(versions) == {operator.version}
    record.write('result', trouble=TROUBLE, newest=operator.version, held=held)
    if not all(running):
        raise CaseUnable('a process of the core ended')
    return held


def main() -> int:
    record = Record(FOLDER)
    deployment = Deployment(5, [])
    try:
        held = play(deployment, record)
    except (CaseUnable, OSError) as error:
        record.write('unable', error=str(error))
        return 2
    finally:
        deployment.close()
        record.close()
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
