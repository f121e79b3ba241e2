"""Asking a supervisor's API from the command line: an answer, or a plain word and the exit code that says so."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request

import click

WITHIN = 5.0  # seconds for an answer


def ask(supervisor: str, view: str, body: dict | None, off: str, bad: int = 1) -> object:
    """What `/v1/VIEW` answers, to `body` if there is one. The program ends where there is no answer to use, with code 3
    without one, 4 and `off` where the supervisor has no such view, `bad` where it turns the body down as no good, 1
    where it refuses."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{supervisor}/v1/{view}", data, {"content-type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=WITHIN) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        text = error.read().decode("utf-8", "replace")
        try:
            text = json.loads(text)["error"]
        except (ValueError, KeyError, TypeError):
            pass
        click.echo(off if error.code == 404 else text, err=True)
        sys.exit({404: 4, 400: bad}.get(error.code, 1))
    except (OSError, ValueError) as error:
        click.echo(f"{supervisor}: no answer ({error}); name a supervisor that runs", err=True)
        sys.exit(3)
