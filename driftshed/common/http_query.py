"""HTTP query client for commands: returns a supervisor's answer, or ends the program with a message and an exit
code."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request

import click

ANSWER_TIMEOUT_S = 5.0


def query_supervisor(
    supervisor: str, view: str, body: dict | None, missing_view_text: str, invalid_exit_code: int = 1
) -> object:
    """Returns the answer of `/v1/VIEW`, to a POST of `body` if one is given. Without a usable answer it prints the
    reason and ends the program, with exit code 3 if there was no answer, 4 and `missing_view_text` if the supervisor
    does not have the view, `invalid_exit_code` if it rejected the body as invalid, and 1 if it refused the request."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{supervisor}/v1/{view}", data, {"content-type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_S) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        text = error.read().decode("utf-8", "replace")
        try:
            text = json.loads(text)["error"]
        except (ValueError, KeyError, TypeError):
            pass
        click.echo(missing_view_text if error.code == 404 else text, err=True)
        sys.exit({404: 4, 400: invalid_exit_code}.get(error.code, 1))
    except (OSError, ValueError) as error:
        click.echo(f"{supervisor}: no answer ({error}); name a running supervisor", err=True)
        sys.exit(3)
