"""Event documents: publishing, history and distribution to daemons."""

from cyclamenlift.events.adoption import Adoption
from cyclamenlift.events.server import DocumentServer
from cyclamenlift.events.state import EventStore
from cyclamenlift.events.state import PublishOutcome
from cyclamenlift.events.state import VersionRecord
from cyclamenlift.events.tasks import ConfigFollower

__all__ = [
    'Adoption',
    'ConfigFollower',
    'DocumentServer',
    'EventStore',
    'PublishOutcome',
    'VersionRecord',
]
