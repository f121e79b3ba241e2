"""Structured logs: one event name for each kind of event, written as JSON lines or for a console."""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def make_log(form: str, level: str, stream=None) -> Callable[..., None]:
    """Returns `log(event, level="info", **fields)`, which writes to a stream, by default standard error. `form`: "json"
    or "console"; events below `level` are dropped."""
    stream = stream or sys.stderr
    renderer = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )

    def log(event: str, level: str = "info", **fields: object) -> None:
        getattr(logger, level)(event, **fields)

    return log
