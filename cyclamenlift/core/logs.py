"""Structured logging in JSON or console format."""

import logging

import structlog

from cyclamenlift.core.log_rate_limit import LogRateLimiter
from cyclamenlift.core.log_sink import make_sink
from cyclamenlift.core.registry import Registry

RENDERERS: Registry = Registry('log format')


@RENDERERS.register('json')
def json_renderer():
    return structlog.processors.JSONRenderer()


@RENDERERS.register('console')
def console_renderer():
    return structlog.dev.ConsoleRenderer(colors=False)


def configure_logs(log_format: str, level: str, instance: str) -> None:
    """Log to standard output, with ``instance`` in each line.

    The rate of lines is limited for each event, and writing never blocks.
    """
    structlog.reset_defaults()
    structlog.configure(
        processors=[
            LogRateLimiter(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            RENDERERS.get(log_format)(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=make_sink,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(instance=instance)
