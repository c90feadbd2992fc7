"""The daemon and control programs with the platform's interfaces."""

import random
from typing import NamedTuple

from returns.result import Failure
import structlog

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.watching import SettingsFile
from cyclamenlift.conf.watching import SettingsWatch
from cyclamenlift.core.logs import configure_logs
from cyclamenlift.core.memory import keep_start_up_objects
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer
from cyclamenlift.platform.dialect import PLATFORM_DIALECT
from cyclamenlift.platform.settings import Fields
from cyclamenlift.platform.settings import file_stamp
from cyclamenlift.platform.settings import gossip_seeds
from cyclamenlift.platform.settings import read_fields
from cyclamenlift.platform.settings import read_settings

EXIT_SETTINGS = 2
EXIT_FAILED = 1
OPERATOR_PATHS = '/v1/Config.'
LOG = structlog.get_logger('platform')


class Prepared(NamedTuple):
    """Fields of the settings file, their stamp and the parsed settings."""

    fields: Fields
    stamp: tuple[int, int]
    settings: object


def listen(root, address: str, take, channel: str) -> HttpServer:
    """Start a server for requests of the platform."""
    server = HttpServer(root.poller, HttpLimits(), take, channel)
    server.register(root)
    server.listen(Address.parse(address))
    return server


def run_daemon() -> int:
    """Run a daemon and return its exit status."""
    from cyclamenlift.platform.readiness import Readiness
    from cyclamenlift.platform.targets import TargetCheckIns
    from cyclamenlift.runtime.daemon import DaemonNode

    prepared = prepare(DaemonSettings)
    if prepared is None:
        return EXIT_SETTINGS
    fields, stamp, settings = prepared
    node = DaemonNode(settings, random.Random(), PLATFORM_DIALECT)
    problems = node.leave_out()
    if problems:
        return complain(problems)
    ready = Readiness(node.is_ready)
    listen(node.loop, fields['listen.ready'], ready.take, 'ready')
    address = Address.parse(fields['listen.control'])
    check_ins = TargetCheckIns(node.gate, settings.service)

    def take(exchange) -> None:
        """Handle a request from an operator or a target."""
        if not exchange.path.startswith(OPERATOR_PATHS):
            check_ins.take(exchange)
            return
        # Few daemons receive such requests; the others skip the import.
        from cyclamenlift.platform.operators import OperatorCalls

        OperatorCalls(node.orders, address.port).take(exchange)

    listen(node.loop, str(address), take, 'targets')
    node.start_parts()
    watch_settings(node, fields, stamp)
    keep_start_up_objects()
    node.loop.run()
    return 0


def run_control() -> int:
    """Run a control instance and return its exit status."""
    from cyclamenlift.platform.operators import OperatorCalls
    from cyclamenlift.runtime.control import ControlNode
    from cyclamenlift.runtime.peers import read_list

    prepared = prepare(ControlSettings)
    if prepared is None:
        return EXIT_SETTINGS
    fields, stamp, settings = prepared
    peers, problems = read_list(settings.peers)
    if problems:
        return complain(problems)
    node = ControlNode(settings, peers, random.Random())
    started = node.start_parts()
    if isinstance(started, Failure):
        complain([started.failure()])
        return EXIT_FAILED
    address = Address.parse(fields['listen.control'])
    calls = OperatorCalls(node.orders, address.port)
    listen(node.loop, str(address), calls.take, 'operators')
    watch_settings(node, fields, stamp)
    keep_start_up_objects()
    node.loop.run()
    return 0


def watch_settings(node, fields: Fields, stamp: tuple[int, int]) -> None:
    """Apply changes of the settings file to a running process."""
    SettingsWatch(
        node.loop,
        SettingsFile(read_fields, file_stamp),
        fields,
        stamp,
        lambda new: take_seeds(node.membership, new),
    )


def take_seeds(membership, fields: Fields) -> None:
    """Pass the seeds of the settings file to membership."""
    seeds = [Address.parse(seed) for seed in gossip_seeds(fields)]
    membership.set_seeds(seeds)


def prepare(kind: type) -> Prepared | None:
    """Read the settings and set up logs; None if there were problems."""
    stamp = file_stamp()
    found = read_fields()
    if isinstance(found, Failure):
        complain([found.failure()])
        return None
    fields = found.unwrap()
    settings = read_settings(kind, fields)
    if isinstance(settings, Failure):
        complain(settings.failure())
        return None
    checked = settings.unwrap()
    configure_logs(checked.log_format, checked.log_level, checked.instance)
    return Prepared(fields, stamp, checked)


def complain(problems: list[Problem]) -> int:
    """Log all problems of the settings and return the exit status."""
    for problem in problems:
        LOG.error('settings_refused', problem=problem.line())
    return EXIT_SETTINGS


PROGRAMS = {'daemon': run_daemon, 'control': run_control}
