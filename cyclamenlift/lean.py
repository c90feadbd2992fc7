"""Loads the parts of large libraries that a daemon uses, and no more.

A library's package often imports all of its modules for the convenience of
those who use many. A daemon uses few, and memory and the time of a start
are dear where one runs beside each target. ``load_lean`` must run before
anything else is imported. Measured for a daemon on one instance: 43 MB and
0.69 s before, see docs/measurements.md for what is left.
"""

from collections.abc import Mapping
import importlib
import importlib.util
import pathlib
import sys
import types

# Standard modules that libraries import at their top and use in functions
# that no daemon calls. They are loaded on their first use.
LAZY_MODULES = ('asyncio', 'ssl', 'subprocess')
# Libraries that others use if they are there: here for colours of logs on
# a terminal, which a daemon does not have.
LEFT_OUT = ('colorama', 'rich')

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
PACKAGES: Mapping[str, Mapping[str, str]] = {
    'circuits': CIRCUITS_NAMES,
    'circuits.core': CIRCUITS_NAMES,
}


def load_lean() -> None:
    """Prepare lazy modules and bare packages; harmless when repeated."""
    for name in LAZY_MODULES:
        load_lazily(name)
    for name in LEFT_OUT:
        leave_out(name)
    for name, offered in PACKAGES.items():
        open_package(name, offered)


def load_lazily(name: str) -> None:
    """Let a module be loaded when its first attribute is read."""
    if name in sys.modules:
        return
    waiting = types.ModuleType(name)

    def load(attribute: str) -> object:
        if sys.modules.get(name) is waiting:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)

    waiting.__getattr__ = load
    sys.modules[name] = waiting


def leave_out(name: str) -> None:
    """Let a library do without another that it only would like to have."""
    sys.modules.setdefault(name, None)


def open_package(name: str, offered: Mapping[str, str]) -> None:
    """Let the modules of a package be imported without its ``__init__``.

    ``offered`` names what the package itself has: each name is taken from
    its module when it is first asked for.
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
        return getattr(importlib.import_module(place), attribute)

    package.__getattr__ = find
    sys.modules[name] = package


def package_folder(name: str) -> pathlib.Path:
    """Return the folder of a package without running its ``__init__``."""
    parent, _, last = name.rpartition('.')
    if parent:
        return pathlib.Path(sys.modules[parent].__path__[0]) / last
    spec = importlib.util.find_spec(name)
    return pathlib.Path(spec.submodule_search_locations[0])
