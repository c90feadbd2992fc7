"""Admin pages of a daemon: status, metrics, burn rates and drain."""

import dataclasses
import typing

from circuits.web.controllers import Controller
from circuits.web.controllers import expose
from returns.result import Failure

from cyclamenlift.accounts.queries import account_rows
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.request_models import parse_request_body
from cyclamenlift.http.pages import json_response
from cyclamenlift.http.pages import problem_response
from cyclamenlift.http.pages import WebResponse
from cyclamenlift.quarantine.border import LiftOrder
from cyclamenlift.quarantine.queries import rows
from cyclamenlift.runtime.status import daemon_status

if typing.TYPE_CHECKING:
    from cyclamenlift.runtime.daemon import DaemonNode

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class ApiPages(Controller):
    """``/api``: data for ``cyclamenlift status`` and ``quarantine``."""

    channel = '/api'

    def __init__(self, node: 'DaemonNode'):
        super().__init__()
        self.node = node

    @expose('status')
    def status(self) -> WebResponse:
        return json_response(dataclasses.asdict(daemon_status(self.node)))

    @expose('accounts')
    def accounts(self, name: str = '') -> WebResponse:
        """Return the client accounts in use here, or the one named."""
        settings = self.node.settings
        found = account_rows(self.node.account_limits, name)
        return json_response(
            {
                'instance': settings.instance,
                'data_centre': settings.data_centre,
                'version': self.node.follower.version,
                'accounts': [dataclasses.asdict(row) for row in found],
            }
        )

    @expose('quarantine')
    def quarantine(self) -> WebResponse:
        """Return suspect and quarantined requests; a POST releases some."""
        if self.request.method == 'POST':
            order = parse_request_body(LiftOrder, self.request.content)
            if isinstance(order, Failure):
                return problem_response(order.failure())
            names = order.unwrap().fingerprints
            self.node.quarantine.lift([bytes.fromhex(n) for n in names])
        state = self.node.quarantine
        found = rows(state.history, state.now())
        return json_response(
            {'requests': [dataclasses.asdict(row) for row in found]}
        )


class DaemonPages(Controller):
    """``/metrics``, ``/burn`` and ``/drain``."""

    channel = '/'

    def __init__(self, node: 'DaemonNode'):
        super().__init__()
        self.node = node

    @expose('metrics')
    def metrics(self) -> WebResponse:
        return WebResponse(
            self.node.call_metrics.metrics.render_prometheus(),
            200,
            METRICS_TYPE,
        )

    @expose('burn')
    def burn(self) -> WebResponse:
        return json_response(self.node.call_metrics.burn_snapshot())

    @expose('drain')
    def drain(self) -> WebResponse:
        """Begin a drain (POST); a repeated request has no effect."""
        if self.request.method != 'POST':
            return problem_response(Problem(ResultCode.METHOD_NOT_ALLOWED))
        self.node.drain()
        return json_response(dataclasses.asdict(daemon_status(self.node)))
