"""Lazy and partial imports of large libraries.

Many packages import all of their modules in ``__init__``. A daemon uses few
of them, and since one runs beside each target, its memory and start time
matter. ``install_lazy_imports`` must be called before any other import.
Without it a daemon, measured on one instance, used 43 MB and took 0.69 s to
start; docs/measurements.md has the current values.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import importlib
import importlib.util
import os
import pathlib
import sys
import types

# Standard modules that libraries import at module level but use only in
# functions that no daemon calls. They are loaded on first use.
LAZY_MODULES = (
    'asyncio',
    'ssl',
    'subprocess',
    'sysconfig',
    'tokenize',
)
# Functions that libraries import by name but call rarely or never. The first
# call loads their module.
LAZY_FUNCTIONS = {
    'importlib.metadata': ('entry_points', 'version'),
    'pickle': ('PicklingError',),
    'pydantic._internal._docs_extraction': ('extract_docstrings_from_cls',),
    'urllib.parse': ('quote_from_bytes',),
}
# Optional dependencies of libraries: for coloured logs on a terminal, which a
# daemon does not have, and for hashes, which the interpreter's own modules
# provide without loading OpenSSL.
MISSING_LIBRARIES = ('colorama', 'rich', '_hashlib')

# Names exported by the packages and the modules that define them.
CIRCUITS_NAMES = {
    '__version__': 'circuits.version',
    'BaseComponent': 'circuits.core.components',
    'Bridge': 'circuits.core.bridge',
    'Debugger': 'circuits.core.debugger',
    'Loader': 'circuits.core.loader',
    'TimeoutError': 'circuits.core.manager',
    'Value': 'circuits.core.values',
    'Worker': 'circuits.core.workers',
    'ipc': 'circuits.core.bridge',
    'sleep': 'circuits.core.manager',
    'task': 'circuits.core.workers',
    'Component': 'circuits.core.components',
    'Event': 'circuits.core.events',
    'Manager': 'circuits.core.manager',
    'Timer': 'circuits.core.timers',
    'handler': 'circuits.core.handlers',
    'reprhandler': 'circuits.core.handlers',
}
# No daemon starts processes; the base class suffices for isinstance checks.
PROCESS_NAMES = {
    'Process': 'multiprocessing.process:BaseProcess',
    'current_process': 'multiprocessing.process',
}
STRUCTLOG_NAMES = {
    'DropEvent': 'structlog.exceptions',
    'configure': 'structlog._config',
    'contextvars': 'structlog.contextvars',
    'dev': 'structlog.dev',
    'get_logger': 'structlog._config',
    'make_filtering_bound_logger': 'structlog._native',
    'processors': 'structlog.processors',
    'reset_defaults': 'structlog._config',
}
# Our own packages of which a daemon needs only some modules: the others hold
# the replicated state, or compute reports that are seldom asked for.
EVENTS_NAMES = {
    'Adoption': 'cyclamenlift.events.adoption',
    'ConfigFollower': 'cyclamenlift.events.tasks',
    'DocumentServer': 'cyclamenlift.events.server',
    'EventStore': 'cyclamenlift.events.state',
    'PublishOutcome': 'cyclamenlift.events.state',
    'VersionRecord': 'cyclamenlift.events.state',
}
LEDGER_NAMES = {
    'Attempt': 'cyclamenlift.ledger.records',
    'ClaimClient': 'cyclamenlift.ledger.tasks',
    'ClaimKey': 'cyclamenlift.ledger.records',
    'ClaimOutcome': 'cyclamenlift.ledger.records',
    'ClaimServer': 'cyclamenlift.ledger.server',
    'Ending': 'cyclamenlift.ledger.records',
    'Ledger': 'cyclamenlift.ledger.state',
    'Verdict': 'cyclamenlift.ledger.records',
}
REPORTS_NAMES = {
    'BurnCounters': 'cyclamenlift.reports.state',
    'ServiceBurn': 'cyclamenlift.reports.queries',
}
PARTIAL_PACKAGES: Mapping[str, Mapping[str, str]] = {
    'circuits': CIRCUITS_NAMES,
    'circuits.core': CIRCUITS_NAMES,
    'crc32c': {'crc32c': 'crc32c._crc32c'},
    'cyclamenlift.events': EVENTS_NAMES,
    'cyclamenlift.ledger': LEDGER_NAMES,
    'cyclamenlift.reports': REPORTS_NAMES,
    'multiprocessing': PROCESS_NAMES,
    'structlog': STRUCTLOG_NAMES,
}
# Prevents searches of the file system during imports: pydantic reads the
# metadata of all packages to find plugins (there are none), and zoneinfo reads
# the build configuration of the interpreter to find the time zones.
ENVIRONMENT = {'PYDANTIC_DISABLE_PLUGINS': '__all__', 'PYTHONTZPATH': ''}


def install_lazy_imports() -> None:
    """Install lazy modules and partial packages; may be called again."""
    os.environ.update(ENVIRONMENT)
    for name in LAZY_MODULES:
        install_lazy_module(name)
    for name, functions in LAZY_FUNCTIONS.items():
        install_lazy_module(name, functions)
    for name in MISSING_LIBRARIES:
        mark_missing(name)
    for name, exports in PARTIAL_PACKAGES.items():
        install_partial_package(name, exports)


def install_lazy_module(name: str, functions: Sequence[str] = ()) -> None:
    """Install a module that is imported when an attribute is first read.

    Attributes in ``functions`` import the module only when called.
    """
    if name in sys.modules:
        return
    lazy_module = types.ModuleType(name)

    def load(attribute: str) -> object:
        if attribute.startswith('__'):
            # The import system reads these without using the module.
            raise AttributeError(
                f'lazy module {name} has no attribute {attribute}'
            )
        if sys.modules.get(name) is lazy_module:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)

    def defer(attribute: str) -> Callable:
        return lambda *args, **named: load(attribute)(*args, **named)

    for function in functions:
        setattr(lazy_module, function, defer(function))
    lazy_module.__getattr__ = load
    sys.modules[name] = lazy_module


def mark_missing(name: str) -> None:
    """Make an optional dependency appear to be missing."""
    sys.modules.setdefault(name, None)


def install_partial_package(name: str, exports: Mapping[str, str]) -> None:
    """Install a package whose modules load without its ``__init__``.

    ``exports`` maps exported names to ``module`` or ``module:name``, which is
    imported when the name is first read. A name that refers to a module of
    the package yields that module.
    """
    if name in sys.modules:
        return
    folder = package_folder(name)
    package = types.ModuleType(name)
    package.__path__ = [str(folder)]
    package.__file__ = str(folder / '__init__.py')

    def find(attribute: str) -> object:
        source = exports.get(attribute)
        if source is None:
            raise AttributeError(
                f'partial package {name} has no attribute {attribute}'
            )
        module, _, other_name = source.partition(':')
        found = importlib.import_module(module)
        if module == f'{name}.{attribute}':
            return found
        return getattr(found, other_name or attribute)

    package.__getattr__ = find
    sys.modules[name] = package


def package_folder(name: str) -> pathlib.Path:
    """Return the folder of a package without executing its ``__init__``."""
    parent, _, last = name.rpartition('.')
    if parent:
        return pathlib.Path(sys.modules[parent].__path__[0]) / last
    spec = importlib.util.find_spec(name)
    return pathlib.Path(spec.submodule_search_locations[0])
