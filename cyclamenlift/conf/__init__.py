"""Settings from flags and environment variables, validated at start."""

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import load_settings
from cyclamenlift.conf.settings import unknown_environment

__all__ = [
    'ControlSettings',
    'DaemonSettings',
    'load_settings',
    'unknown_environment',
]
