"""Strict HTTP server and client for callers, targets and operators."""

from cyclamenlift.http.client import TargetClient
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.headers import end_to_end
from cyclamenlift.http.headers import HeaderError
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import WebResponse
from cyclamenlift.http.server import HttpServer
from cyclamenlift.http.target import TargetFailure
from cyclamenlift.http.target import TargetListener
from cyclamenlift.http.target import TargetRequest
from cyclamenlift.http.target_call import TargetCall

__all__ = [
    'ClientLimits',
    'Deferred',
    'Exchange',
    'HeaderError',
    'HttpLimits',
    'HttpServer',
    'TargetCall',
    'TargetClient',
    'TargetFailure',
    'TargetListener',
    'TargetRequest',
    'WebResponse',
    'end_to_end',
]
