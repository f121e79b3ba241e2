"""`driftshed proxy`: runs one proxy as a process."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import click

from driftshed.common.logs import LEVELS, make_log
from driftshed.common.options import option
from driftshed.core.messages import InvalidServerName, server_id
from driftshed.net.http_server import Bounds
from driftshed.net.loop import Loop
from driftshed.proxy.assembly import Proxy, ProxyOptions
from driftshed.proxy.follow import SUPERVISOR_TIMEOUT_S
from driftshed.proxy.forward import Limits
from driftshed.supervisor.flags import fact_options, start_facts
from driftshed.trace.writer import TraceWriter, schedule_trace_flush


def addresses(texts: tuple[str, ...], flag: str) -> list[tuple[str, int]]:
    """Parses texts "address:port" on loopback; raises click.BadParameter that names the flag."""
    found = []
    for text in texts:
        try:  # port 0 selects a free one
            server_id(text.removesuffix(":0") + ":1" if text.endswith(":0") else text)
        except InvalidServerName as error:
            raise click.BadParameter(f"{error}; such as 127.0.0.1:7000", param_hint=f"--{flag}") from None
        host, _, port = text.rpartition(":")
        if not host.startswith("127."):
            raise click.BadParameter(f"{host!r}: loopback alone; use an address of 127.", param_hint=f"--{flag}")
        found.append((host, int(port)))
    return found


@click.command()
@option("listen", type=click.STRING, default="127.0.0.1:8080", help="address:port for clients")
@option("shared", is_flag=True, help="several proxies may listen at this address (SO_REUSEPORT)")
@option("number", type=click.IntRange(0, 65535), required=True, help="this proxy's number, unique at all supervisors")
@option("zone", type=click.STRING, required=True, help="zone of this proxy, one of --zones")
@option("rate", type=click.FloatRange(0, 1e9), default=10.0, help="usual invocations per second")
@option("supervisor", "follows", multiple=True, required=True, help="address:port; several in order of preference")
@option("standing", multiple=True, help="address:port of a server to start with; several")
@option("source", type=click.STRING, default=None, help="address that connections are made from")
@option(
    "hears-within",
    type=click.FloatRange(0.5, 600),
    default=SUPERVISOR_TIMEOUT_S,
    help="seconds until a silent one is given up",
)
@option("seed", type=click.IntRange(0, 2**63 - 1), default=1, help="seed of this proxy's random numbers")
@option("clients", type=click.IntRange(1, 100000), default=8192, help="connections of clients")
@option("invocations", type=click.IntRange(1, 1000000), default=10000, help="most under way at a time")
@option("body-bytes", type=click.IntRange(1, 1 << 28), default=1 << 20, help="largest body accepted")
@option("server-connections", type=click.IntRange(1, 10000), default=64, help="to one server")
@option("connecting", type=click.IntRange(1, 10000), default=8, help="connection attempts to one server at a time")
@option("trace", type=click.Path(file_okay=False, path_type=Path), help="record invocations in this folder")
@option("log-form", type=click.Choice(["json", "console"]), default="json", help="how logs are written")
@option("log-level", type=click.Choice(list(LEVELS)), default="info", help="lowest level that is logged")
@fact_options
def proxy(
    listen: str,
    shared: bool,
    number: int,
    zone: str,
    rate: float,
    follows: tuple[str, ...],
    standing: tuple[str, ...],
    source: str | None,
    hears_within: float,
    seed: int,
    clients: int,
    invocations: int,
    body_bytes: int,
    server_connections: int,
    connecting: int,
    trace: Path | None,
    log_form: str,
    log_level: str,
    **given: object,
) -> None:
    """Forwards clients' invocations to servers of the tables. The first line of output is the listening address."""
    facts = start_facts(given)
    if zone not in facts.zones:
        raise click.BadParameter(f"{zone!r}: one of {', '.join(facts.zones)}", param_hint="--zone")
    (address,) = addresses((listen,), "listen")
    log = make_log(log_form, log_level)
    loop = Loop()
    loop.on_error = lambda error: log("fault", level="error", error=f"{type(error).__name__}: {error}")
    addresses(standing, "standing")
    options = ProxyOptions(
        number, zone, rate, address, addresses(follows, "supervisor"), list(standing), source, hears_within
    )
    limits = Limits(invocations, server_connections, connecting)
    bounds = Bounds(body_bytes=body_bytes, connections=clients)
    try:
        running = Proxy(loop, options, facts, seed, log, os.urandom(4).hex(), limits, bounds, shared)
    except OSError as error:
        raise click.BadParameter(f"{listen}: {error.strerror}; choose a free port", param_hint="--listen") from None
    forwarder, follower = running.forwarder, running.follower
    writer = None
    if trace is not None:
        writer, wall = TraceWriter(trace, f"proxy-{number}"), time.time() - loop.clock()
        schedule_trace_flush(loop, writer, log)
        forwarder.trace = lambda kind, at, **fields: writer.add(kind, at + wall, **fields)
        follower.on_message = lambda at, name, sent: writer.add("message", at + wall, id=name, sent=int(sent))

    def stop(signal_number: int) -> None:
        log("stopping", signal=signal.Signals(signal_number).name, under_way=forwarder.under_way)
        running.stop(loop.stop)

    loop.on_signals((signal.SIGTERM, signal.SIGINT), stop)
    log("listening", address=f"{forwarder.address[0]}:{forwarder.address[1]}", number=number)
    print(f"listening {forwarder.address[0]}:{forwarder.address[1]}", flush=True)
    loop.run()
    loop.close()
    if writer is not None:
        writer.close(1.0)
    log("stopped", **{"counts": forwarder.counts, "reports_dropped": running.report_counts.dropped_tries})
    sys.stderr.flush()
