"""`python -m driftshed.node`: one supervisor on the platform, in the foreground."""

from __future__ import annotations

import os
import signal
import sys
import time

import msgspec

from driftshed.adapter.facts import BadInput
from driftshed.net.loop import Loop
from driftshed.node import config
from driftshed.node.service import Service, settle_memory


def log(event: str, level: str = "info", **fields: object) -> None:
    """One structured line on standard error. By hand: the library of the other programs takes half of a small machine's
    memory to load."""
    line = {"event": event, "level": level, "timestamp": round(time.time(), 3)} | fields
    os.write(2, msgspec.json.encode(line) + b"\n")


def main() -> int:
    try:
        told = config.read(os.environ)
    except BadInput as error:
        print(f"driftshed: {error}", file=sys.stderr)
        return 2
    loop = Loop()
    loop.on_error = lambda error: log("fault", level="error", error=f"{type(error).__name__}: {error}",
                                      place=_place(error))  # fmt: skip
    try:
        service = Service(loop, told, log)
    except OSError as error:
        print(f"driftshed: LB_LISTEN {told.listen[0]}:{told.listen[1]}: {error.strerror}", file=sys.stderr)
        return 2

    def on_signal(number: int) -> None:
        if number != signal.SIGHUP:
            log("stopped", signal=number)
            loop.stop()
            return
        try:
            service.renew(config.read(os.environ))
        except BadInput as error:
            log("configuration_unusable", level="error", reason=str(error))

    loop.on_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP), on_signal)
    log("started", name=told.name, listen=told.listen, discovery=told.discovery, relay=told.relay)
    settle_memory()
    loop.run()
    return 0


def _place(error: Exception) -> str:
    trace, place = error.__traceback__, ""
    while trace is not None:
        place, trace = f"{trace.tb_frame.f_code.co_qualname}, line {trace.tb_lineno}", trace.tb_next
    return place


if __name__ == "__main__":
    sys.exit(main())
