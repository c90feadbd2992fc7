"""Interface between the console and its control instance."""

from collections.abc import Callable
from typing import Protocol

import cyclamenlift.events.commands as commands
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.publish_report import PublishReport
import cyclamenlift.events.queries as queries
from cyclamenlift.events.reports import ControlReport
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import HistoryReport
from cyclamenlift.events.reports import StorageReport
from cyclamenlift.events.request_models import Publication
from cyclamenlift.events.request_models import StorageReplacement


class ControlInterface(Protocol):
    """Commands and queries; ``done`` is called once, now or later."""

    def publish(
        self, change: Publication, done: Callable[[PublishReport], None]
    ) -> None:
        """Publish a document that replaces its base version."""

    def show(
        self, version: int, done: Callable[[DocumentReport], None]
    ) -> None:
        """Report one version of the document, the newest for 0."""

    def history(
        self, limit: int, done: Callable[[HistoryReport], None]
    ) -> None:
        """Report the newest versions and who published them."""

    def status(self, done: Callable[[ControlReport], None]) -> None:
        """Report the state of the control instances."""

    def replace_storage(
        self,
        replacement: StorageReplacement,
        done: Callable[[StorageReport], None],
    ) -> None:
        """Make a new storage a voter in place of a lost one."""


class ContextControlInterface:
    """Implementation with the commands and queries of the JSON API."""

    def __init__(self, context: ControlContext):
        self.context = context

    def publish(self, change, done) -> None:
        commands.publish(self.context, change, done)

    def show(self, version, done) -> None:
        queries.show(self.context, version, done)

    def history(self, limit, done) -> None:
        queries.history(self.context, limit, done)

    def status(self, done) -> None:
        done(queries.status(self.context))

    def replace_storage(self, replacement, done) -> None:
        commands.replace_storage(self.context, replacement, done)
