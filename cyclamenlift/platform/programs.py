"""The daemon and control programs with the platform's interfaces."""

import random
from typing import NamedTuple

from returns.result import Failure
import structlog

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings_watcher import SettingsFile
from cyclamenlift.conf.settings_watcher import SettingsWatcher
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
OPERATOR_PATHS = ('/v1/Config.', '/v1/Evacuate.')
LOG = structlog.get_logger('platform')


class Prepared(NamedTuple):
    """Fields of the settings file, their stamp and the parsed settings."""

    fields: Fields
    stamp: tuple[int, int]
    settings: object


def listen(root, address: str, handle, channel: str) -> HttpServer:
    """Start a server for requests of the platform."""
    server = HttpServer(root.poller, HttpLimits(), handle, channel)
    server.register(root)
    server.listen(Address.parse(address))
    return server


def run_daemon() -> int:
    """Run a daemon and return its exit status."""
    from cyclamenlift.platform.readiness import ReadinessEndpoint
    from cyclamenlift.platform.targets import TargetEndpoint
    from cyclamenlift.runtime.daemon import DaemonNode

    prepared = prepare(DaemonSettings)
    if prepared is None:
        return EXIT_SETTINGS
    fields, stamp, settings = prepared
    node = DaemonNode(settings, random.Random(), PLATFORM_DIALECT)
    problems = node.disable_mechanisms()
    if problems:
        return log_problems(problems)
    readiness = ReadinessEndpoint(node.is_ready)
    listen(node.loop, fields['listen.ready'], readiness.handle, 'ready')
    address = Address.parse(fields['listen.control'])
    target_endpoint = TargetEndpoint(node.gate, settings.service)

    def handle(exchange) -> None:
        """Handle a request from an operator or a target."""
        if not exchange.path.startswith(OPERATOR_PATHS):
            target_endpoint.handle(exchange)
            return
        # Few daemons receive such requests; the others skip the import.
        from cyclamenlift.platform.operators import OperatorEndpoint

        view = node.follower.evacuations.view
        OperatorEndpoint(
            node.orders,
            node.loop.scheduler,
            address.port,
            lambda: view.revision,
        ).handle(exchange)

    listen(node.loop, str(address), handle, 'targets')
    node.start_parts()
    watch_settings(node, fields, stamp)
    freeze_startup_objects()
    node.loop.run()
    return 0


def run_control() -> int:
    """Run a control instance and return its exit status."""
    from cyclamenlift.platform.operators import OperatorEndpoint
    from cyclamenlift.runtime.control import ControlNode
    from cyclamenlift.runtime.peers import parse_entries

    prepared = prepare(ControlSettings)
    if prepared is None:
        return EXIT_SETTINGS
    fields, stamp, settings = prepared
    peers, problems = parse_entries(settings.peers)
    if problems:
        return log_problems(problems)
    node = ControlNode(settings, peers, random.Random())
    started = node.start_parts()
    if isinstance(started, Failure):
        log_problems([started.failure()])
        return EXIT_FAILED
    address = Address.parse(fields['listen.control'])
    view = node.evacuations.view
    endpoint = OperatorEndpoint(
        node.orders,
        node.loop.scheduler,
        address.port,
        lambda: view.revision,
    )
    listen(node.loop, str(address), endpoint.handle, 'operators')
    watch_settings(node, fields, stamp)
    freeze_startup_objects()
    node.loop.run()
    return 0


def watch_settings(node, fields: Fields, stamp: tuple[int, int]) -> None:
    """Apply changes of the settings file to a running process."""
    SettingsWatcher(
        node.loop,
        SettingsFile(read_fields, file_stamp),
        fields,
        stamp,
        lambda new: update_seeds(node.membership, new),
    )


def update_seeds(membership, fields: Fields) -> None:
    """Pass the seeds of the settings file to membership."""
    seeds = [Address.parse(seed) for seed in gossip_seeds(fields)]
    membership.set_seeds(seeds)


def prepare(kind: type) -> Prepared | None:
    """Read the settings and set up logs; None if there were problems."""
    stamp = file_stamp()
    found = read_fields()
    if isinstance(found, Failure):
        log_problems([found.failure()])
        return None
    fields = found.unwrap()
    settings = read_settings(kind, fields)
    if isinstance(settings, Failure):
        log_problems(settings.failure())
        return None
    checked = settings.unwrap()
    configure_logs(checked.log_format, checked.log_level, checked.instance)
    return Prepared(fields, stamp, checked)


def log_problems(problems: list[Problem]) -> int:
    """Log all problems of the settings and return the exit status."""
    for problem in problems:
        LOG.error('settings_refused', problem=problem.line())
    return EXIT_SETTINGS


PROGRAMS = {'daemon': run_daemon, 'control': run_control}
