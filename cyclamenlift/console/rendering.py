"""Renders the page templates with escaping and security headers."""

import datetime

import jinja2

from cyclamenlift.console.forms import format_value
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.pages import WebResponse

# The policy lets a page use only its inline styles and own form targets.
SECURITY_HEADERS = (
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'",
    ),
    ('X-Content-Type-Options', 'nosniff'),
    ('Cache-Control', 'no-store'),
)


def utc_time(unix_ms: int) -> str:
    """Format a Unix time in milliseconds as UTC.

    >>> utc_time(0)
    '1970-01-01 00:00:00 UTC'
    """
    instant = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS, datetime.UTC
    )
    return instant.strftime('%Y-%m-%d %H:%M:%S UTC')


def create_environment() -> jinja2.Environment:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader('cyclamenlift.console'),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters['utc_time'] = utc_time
    environment.filters['plain'] = format_value
    return environment


ENVIRONMENT = create_environment()


def render(template: str, code: ResultCode, **values) -> WebResponse:
    """Render a template with the HTTP status of ``code``."""
    info = describe(code)
    text = ENVIRONMENT.get_template(template).render(
        code=int(code), info=info, codes=ResultCode, **values
    )
    headers = (*SECURITY_HEADERS, ('Cyclamenlift-Result', str(int(code))))
    return WebResponse(text.encode(), info.status or 200, headers=headers)
