"""Flags of commands."""

from __future__ import annotations

from collections.abc import Callable

import click


def envvar(name: str) -> str:
    return "DRIFTSHED_" + name.upper().replace("-", "_")


def option(name: str, *names: str, **more: object) -> Callable:
    """A click option that is also read from the environment."""
    return click.option(f"--{name}", *names, envvar=envvar(name), show_default=True, **more)
