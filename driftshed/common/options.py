"""Command options."""

from __future__ import annotations

from collections.abc import Callable

import click


def environment_name(name: str) -> str:
    """Returns the environment variable of an option."""
    return "DRIFTSHED_" + name.upper().replace("-", "_")


def option(name: str, *names: str, **attributes: object) -> Callable:
    """Returns a click option that is also read from the environment; `attributes` are those of `click.option`."""
    return click.option(f"--{name}", *names, envvar=environment_name(name), show_default=True, **attributes)
