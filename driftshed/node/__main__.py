"""`python -m driftshed.node`: one supervisor on the platform, in the foreground."""

from __future__ import annotations

import os
import signal
import sys
import time

from driftshed.net.loop import Loop

RELOAD_AGAIN, RELOADS = 0.1, 20  # seconds until an unusable file is read again; how often, after one signal


def main() -> int:
    # Guards against signals that come before the rest is loaded: they are heard in the loop's first round.
    loop = Loop()
    loop.on_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP), lambda number: heard(number))

    import msgspec

    from driftshed.adapter.facts import BadInput
    from driftshed.node import config
    from driftshed.node.service import Service, settle_memory

    def log(event: str, level: str = "info", **fields: object) -> None:
        """One structured line on standard error. By hand: the library of the other programs takes half of a small
        machine's memory to load."""
        line = {"event": event, "level": level, "timestamp": round(time.time(), 3)} | fields
        try:
            os.write(2, msgspec.json.encode(line) + b"\n")
        except OSError:
            pass  # guards against an end for want of a reader: nobody is left to be told

    try:
        told = config.read(os.environ)
    except BadInput as error:
        print(f"driftshed: {error}", file=sys.stderr)
        return 2
    loop.on_error = lambda error: log(
        "fault", level="error", error=f"{type(error).__name__}: {error}", place=_place(error)
    )
    try:
        service = Service(loop, told, log)
    except OSError as error:
        print(f"driftshed: LB_LISTEN {told.listen[0]}:{told.listen[1]}: {error.strerror}", file=sys.stderr)
        return 2

    def reload(left: int = RELOADS) -> None:
        nonlocal again
        if again is not None:
            again.cancel()
            again = None
        try:
            service.renew(config.read(os.environ))
        except BadInput as error:
            if left in (0, RELOADS):
                log("configuration_unusable", level="error", reason=str(error), again=left > 0)
            if left:
                # Guards against a signal that comes while the file is being replaced: half of it is read then.
                again = loop.after(RELOAD_AGAIN, lambda: reload(left - 1))

    again = None

    def heard(number: int) -> None:
        if number == signal.SIGHUP:
            reload()
            return
        log("stopped", signal=number)
        loop.stop()

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
