"""Admin pages of a control instance: API, console and metrics."""

from circuits.web.controllers import BaseController
from circuits.web.controllers import Controller
from circuits.web.controllers import expose

from cyclamenlift.console.control_interface import ContextControlInterface
from cyclamenlift.console.pages import ConsolePages
from cyclamenlift.events.context import ControlContext
from cyclamenlift.http.pages import WebResponse
from cyclamenlift.runtime.admin import METRICS_TYPE
from cyclamenlift.runtime.control_api import ControlApi
from cyclamenlift.runtime.control_metrics import ControlMetrics


class MetricsPage(Controller):
    """``/metrics`` of a control instance."""

    channel = '/metrics'

    def __init__(self, metrics: ControlMetrics):
        super().__init__()
        self.metrics = metrics

    @expose('index')
    def index(self) -> WebResponse:
        return WebResponse(self.metrics.render(), 200, METRICS_TYPE)


def control_pages(
    context: ControlContext, metrics: ControlMetrics
) -> list[BaseController]:
    """Return the controllers of a control instance's admin address."""
    return [
        ControlApi(context),
        ConsolePages(ContextControlInterface(context)),
        MetricsPage(metrics),
    ]
