"""Limits the imports of a daemon, for its memory use and start time."""

import pathlib
import subprocess
import sys

import pydantic

ROOT = pathlib.Path(__file__).parents[1]

# Modules that take megabytes or a tenth of a second to import and that no call
# needs. The first request for an admin page or metrics imports them.
UNWANTED = {
    '_hashlib',
    'asyncio',
    'circuits.web',
    'circuits.node',
    'colorama',
    'email',
    'fire',
    'hdrh',
    'importlib.metadata',
    'jinja2',
    'matplotlib',
    'multiprocessing.context',
    'numpy',
    'opentelemetry',
    'pickle',
    'pkg_resources',
    'prometheus_client',
    'pydantic_settings',
    'pygments',
    'rich',
    'ssl',
    'structlog.stdlib',
    'sysconfig',
    'yaml',
    'zipfile',
}
SCRIPT = """
import importlib, sys
from cyclamenlift.lazy_imports import install_lazy_imports
install_lazy_imports()
import cyclamenlift.platform.programs
for name in sys.argv[1:]:
    importlib.import_module(name)
# A lazy module that is not loaded yet has no file.
for name, module in list(sys.modules.items()):
    held = getattr(module, '__dict__', {})
    if held.get('__spec__') or held.get('__file__'):
        print(name)
"""
DAEMON = ('cyclamenlift.runtime.daemon', 'cyclamenlift.platform.targets')
CONTROL = ('cyclamenlift.runtime.control', 'cyclamenlift.platform.operators')


def loaded_modules(*modules: str) -> set[str]:
    """Return the modules loaded in a process that imports ``modules``."""
    # -S skips modules that installed packages load at each start.
    command = [sys.executable, '-S', '-c', SCRIPT, *modules]
    path = ':'.join([str(ROOT), *(p for p in sys.path if p)])
    done = subprocess.run(
        command,
        capture_output=True,
        check=True,
        text=True,
        env={'PYTHONPATH': path},
    )
    return set(done.stdout.split())


def test_daemon_imports_no_unwanted_module():
    assert not UNWANTED & loaded_modules(*DAEMON)


# Modules of our own that hold the replicated state or reports. They cost each
# daemon 1.5 MB and a tenth of its imports.
CONTROL_ONLY = (
    'cyclamenlift.events.commands',
    'cyclamenlift.events.reports',
    'cyclamenlift.events.server',
    'cyclamenlift.events.state',
    'cyclamenlift.ledger.server',
    'cyclamenlift.ledger.state',
    'cyclamenlift.replication',
    'cyclamenlift.reports.queries',
)


def test_daemon_imports_no_replicated_state():
    # Guards against a start that takes longer than it must, when all daemons
    # come back at once and callers wait.
    loaded = loaded_modules(*DAEMON)
    assert not [m for m in loaded if m.startswith(CONTROL_ONLY)]


def test_control_instance_imports_no_unwanted_module():
    assert not UNWANTED & loaded_modules(*CONTROL)


def test_a_lazy_function_works_when_it_is_called():
    script = (
        'from cyclamenlift.lazy_imports import install_lazy_imports\n'
        'install_lazy_imports()\n'
        'from pickle import PicklingError\n'
        'from importlib.metadata import version\n'
        'print(type(PicklingError()).__module__, version("pydantic"))\n'
    )
    done = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT,
    )
    module, found = done.stdout.split()
    assert module == '_pickle'
    assert found == pydantic.VERSION


def test_partial_packages_still_export_their_names():
    found = loaded_modules('circuits.web.controllers')
    assert 'circuits.web.controllers' in found
