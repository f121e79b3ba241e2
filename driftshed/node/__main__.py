"""`python -m driftshed.node`: runs one supervisor on the platform in the foreground."""

from __future__ import annotations

import os
import signal
import sys
import time

from driftshed.net.loop import Loop

RELOAD_INTERVAL_S, MAX_RELOADS = 0.1, 20  # wait before an unusable file is read again; further reads per signal


def main() -> int:
    """Runs the supervisor until SIGTERM or SIGINT; SIGHUP reloads the configuration file.

    Returns the exit code: 0 after a stop by signal, 2 for an unusable configuration or listening address."""
    # Guards against signals that arrive before the other modules are loaded: the loop's first round handles them.
    loop = Loop()
    loop.on_signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP), lambda number: handle_signal(number))

    import msgspec

    from driftshed.adapter.facts import BadInput
    from driftshed.node import config
    from driftshed.node.service import Service, freeze_startup_objects

    def log(event: str, level: str = "info", **fields: object) -> None:
        """Writes one JSON line to standard error. It does without the logging library of the other programs, which
        takes half of a small machine's memory to load."""
        line = {"event": event, "level": level, "timestamp": round(time.time(), 3)} | fields
        try:
            os.write(2, msgspec.json.encode(line) + b"\n")
        except OSError:
            pass  # guards against exiting when nothing reads the log: there is nowhere to report it

    try:
        supervisor_config = config.load(os.environ)
    except BadInput as error:
        print(f"driftshed: {error}", file=sys.stderr)
        return 2
    loop.on_error = lambda error: log(
        "fault", level="error", error=f"{type(error).__name__}: {error}", place=_location(error)
    )
    try:
        service = Service(loop, supervisor_config, log)
    except OSError as error:
        print(
            f"driftshed: LB_LISTEN {supervisor_config.listen[0]}:{supervisor_config.listen[1]}: {error.strerror}",
            file=sys.stderr,
        )
        return 2

    def reload(reloads_left: int = MAX_RELOADS) -> None:
        nonlocal reload_timer
        if reload_timer is not None:
            reload_timer.cancel()
            reload_timer = None
        try:
            service.reconfigure(config.load(os.environ))
        except BadInput as error:
            if reloads_left in (0, MAX_RELOADS):
                log("configuration_unusable", level="error", reason=str(error), again=reloads_left > 0)
            if reloads_left:
                # Guards against a signal that arrives while the file is being replaced, when only part of it is read.
                reload_timer = loop.after(RELOAD_INTERVAL_S, lambda: reload(reloads_left - 1))

    reload_timer = None

    def handle_signal(number: int) -> None:
        if number == signal.SIGHUP:
            reload()
            return
        log("stopped", signal=number, worst=service.host.margins.fields())
        loop.stop()

    log(
        "started",
        name=supervisor_config.name,
        listen=supervisor_config.listen,
        discovery=supervisor_config.discovery,
        relay=supervisor_config.relay,
    )
    freeze_startup_objects()
    loop.run()
    return 0


def _location(error: Exception) -> str:
    trace, place = error.__traceback__, ""
    while trace is not None:
        place, trace = f"{trace.tb_frame.f_code.co_qualname}, line {trace.tb_lineno}", trace.tb_next
    return place


if __name__ == "__main__":
    sys.exit(main())
