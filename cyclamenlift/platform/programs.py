"""The two programs on the platform: the product's, with the adapter on."""

import random
from typing import NamedTuple

from returns.result import Failure
import structlog

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.watching import SettingsFile
from cyclamenlift.conf.watching import SettingsWatch
from cyclamenlift.core.logs import configure_logs
from cyclamenlift.core.memory import freeze_startup_objects
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
    """The settings file as it was read, its stamp before, and its meaning."""

    fields: Fields
    stamp: tuple[int, int]
    settings: object


def listen(root, address: str, take, channel: str) -> HttpServer:
    """Serve small requests of the platform on one address."""
    server = HttpServer(root.poller, HttpLimits(), take, channel)
    server.register(root)
    server.listen(Address.parse(address))
    return server


def run_daemon() -> int:
    """Run a daemon; return its exit status."""
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
        """Take a call of an operator or of a target."""
        if not exchange.path.startswith(OPERATOR_PATHS):
            check_ins.take(exchange)
            return
        # Few daemons are ever asked, and the others need not load it.
        from cyclamenlift.platform.operators import OperatorCalls

        OperatorCalls(node.orders, address.port).take(exchange)

    listen(node.loop, str(address), take, 'targets')
    node.start_parts()
    watch_settings(node, fields, stamp)
    freeze_startup_objects()
    node.loop.run()
    return 0


def run_control() -> int:
    """Run a control instance; return its exit status."""
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
    freeze_startup_objects()
    node.loop.run()
    return 0


def watch_settings(node, fields: Fields, stamp: tuple[int, int]) -> None:
    """Let a changed settings file take effect on a running process."""
    SettingsWatch(
        node.loop,
        SettingsFile(read_fields, file_stamp),
        fields,
        stamp,
        lambda new: take_seeds(node.membership, new),
    )


def take_seeds(membership, fields: Fields) -> None:
    """Let membership ask the seeds that the file names now."""
    seeds = [Address.parse(seed) for seed in gossip_seeds(fields)]
    membership.set_seeds(seeds)


def prepare(kind: type) -> Prepared | None:
    """Read the settings and set up logs; None after telling what is wrong."""
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
    """Write every problem of the settings; return the exit status."""
    for problem in problems:
        LOG.error('settings_refused', problem=problem.line())
    return EXIT_SETTINGS


PROGRAMS = {'daemon': run_daemon, 'control': run_control}
