"""Loads the parts of large libraries that a daemon uses, and no more.

A library's package often imports all of its modules for the convenience of
those who use many. A daemon uses few, and memory and the time of a start
are dear where one runs beside each target. ``load_lean`` must run before
anything else is imported. Measured for a daemon on one instance: 43 MB and
0.69 s before, see docs/measurements.md for what is left.
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

# Standard modules that libraries import at their top and use in functions
# that no daemon calls. They are loaded on their first use.
LAZY_MODULES = (
    'asyncio',
    'ssl',
    'subprocess',
    'sysconfig',
    'tokenize',
)
# Functions that libraries import by name and call rarely or never. Their
# module is loaded with the first call.
LAZY_FUNCTIONS = {
    'importlib.metadata': ('entry_points', 'version'),
    'pickle': ('PicklingError',),
    'pydantic._internal._docs_extraction': ('extract_docstrings_from_cls',),
    'urllib.parse': ('quote_from_bytes',),
}
# Libraries that others use if they are there: for colours of logs on a
# terminal, which a daemon does not have, and for hashes, which come from
# the interpreter's own modules without loading OpenSSL.
LEFT_OUT = ('colorama', 'rich', '_hashlib')

# What the packages themselves offer, by the module that has it.
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
# No daemon starts a process, so the base class is enough to be compared with.
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
PACKAGES: Mapping[str, Mapping[str, str]] = {
    'circuits': CIRCUITS_NAMES,
    'circuits.core': CIRCUITS_NAMES,
    'crc32c': {'crc32c': 'crc32c._crc32c'},
    'multiprocessing': PROCESS_NAMES,
    'structlog': STRUCTLOG_NAMES,
}
# What keeps libraries from searching the machine while they load: pydantic
# reads the metadata of all packages for plugins (there are none), and
# zoneinfo the interpreter's build for the folder of time zones.
ENVIRONMENT = {'PYDANTIC_DISABLE_PLUGINS': '__all__', 'PYTHONTZPATH': ''}


def load_lean() -> None:
    """Prepare lazy modules and bare packages; harmless when repeated."""
    os.environ.update(ENVIRONMENT)
    for name in LAZY_MODULES:
        load_lazily(name)
    for name, functions in LAZY_FUNCTIONS.items():
        load_lazily(name, functions)
    for name in LEFT_OUT:
        leave_out(name)
    for name, offered in PACKAGES.items():
        open_package(name, offered)


def load_lazily(name: str, functions: Sequence[str] = ()) -> None:
    """Let a module be loaded when its first attribute is read.

    Those of ``functions`` may be read: only a call of one loads it.
    """
    if name in sys.modules:
        return
    waiting = types.ModuleType(name)

    def load(attribute: str) -> object:
        if attribute.startswith('__'):
            # The import system looks for these without using the module.
            raise AttributeError(f'{name} has no {attribute} yet')
        if sys.modules.get(name) is waiting:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)

    def defer(attribute: str) -> Callable:
        return lambda *args, **named: load(attribute)(*args, **named)

    for function in functions:
        setattr(waiting, function, defer(function))
    waiting.__getattr__ = load
    sys.modules[name] = waiting


def leave_out(name: str) -> None:
    """Let a library do without another that it only would like to have."""
    sys.modules.setdefault(name, None)


def open_package(name: str, offered: Mapping[str, str]) -> None:
    """Let the modules of a package be imported without its ``__init__``.

    ``offered`` names what the package itself has: each name is taken from
    its module, ``module`` or ``module:name``, when it is first asked for;
    a module of the package stands for itself.
    """
    if name in sys.modules:
        return
    folder = package_folder(name)
    package = types.ModuleType(name)
    package.__path__ = [str(folder)]
    package.__file__ = str(folder / '__init__.py')

    def find(attribute: str) -> object:
        place = offered.get(attribute)
        if place is None:
            raise AttributeError(f'{name} has no {attribute} here')
        module, _, other_name = place.partition(':')
        found = importlib.import_module(module)
        if module == f'{name}.{attribute}':
            return found
        return getattr(found, other_name or attribute)

    package.__getattr__ = find
    sys.modules[name] = package


def package_folder(name: str) -> pathlib.Path:
    """Return the folder of a package without running its ``__init__``."""
    parent, _, last = name.rpartition('.')
    if parent:
        return pathlib.Path(sys.modules[parent].__path__[0]) / last
    spec = importlib.util.find_spec(name)
    return pathlib.Path(spec.submodule_search_locations[0])
