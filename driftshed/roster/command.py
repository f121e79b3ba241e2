"""`driftshed roster serve` and `driftshed announce`."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

import click

from driftshed.common.logs import LEVELS, make_log
from driftshed.common.options import option
from driftshed.core.messages import InvalidServerName, server_id
from driftshed.net.loop import Loop
from driftshed.roster.announce import Announcer, RegistrationState
from driftshed.roster.log import CorruptLog, TransactionLog
from driftshed.roster.membership import ServerAnnouncement
from driftshed.roster.serve import StoreServer


def parse_hosts(text: str, flag: str) -> list[tuple[str, int]]:
    """Parses a connect string, comma-separated HOST:PORT. Raises click.BadParameter, which names the flag."""
    hosts = []
    for part in filter(None, (each.strip() for each in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host.startswith("127.") or not port.isdigit() or not 0 < int(port) < 65536:
            what = f"{part!r}: write loopback address and port, such as 127.0.0.1:2181; separate several with commas"
            raise click.BadParameter(what, param_hint=f"--{flag}")
        hosts.append((host, int(port)))
    if not hosts:
        raise click.BadParameter("name at least one 127.0.0.1:PORT", param_hint=f"--{flag}")
    return hosts


def check_root(root: str) -> str:
    """Returns an absolute path other than "/" unchanged. Raises click.BadParameter for anything else."""
    if not root.startswith("/") or root.endswith("/") or "//" in root or root == "/":
        text = f"{root!r}: expected a path such as /driftshed/servers"
        raise click.BadParameter(text, param_hint="--roster-root")
    return root


@click.group()
def roster() -> None:
    """Membership by sessions."""


@roster.command()
@option("listen", type=click.STRING, default="127.0.0.1:2181", help="address:port; port 0 takes a free one")
@option(
    "folder", type=click.Path(file_okay=False, path_type=Path), required=True, help="folder of its log and snapshots"
)
@option("seed", type=click.IntRange(0, 2**63 - 1), default=1, help="seed of session numbers and passwords")
@option("snapshot-every", type=click.IntRange(10, 10**9), default=10000, help="changes from one snapshot to the next")
@option("log-level", type=click.Choice(list(LEVELS)), default="info", help="lowest level that is logged")
def serve(listen: str, folder: Path, seed: int, snapshot_every: int, log_level: str) -> None:
    """Runs the stand-in store, one node, until SIGTERM. An ensemble of ZooKeeper can replace it."""
    host, _, port = listen.rpartition(":")
    if not host.startswith("127.") or not port.isdigit() or int(port) > 65535:
        raise click.BadParameter(f"{listen!r}: write 127.0.0.1:PORT", param_hint="--listen")
    log, loop = make_log("json", log_level), Loop()
    try:
        transaction_log = TransactionLog(folder, snapshot_every)
    except (CorruptLog, OSError) as error:
        text = f"{error}; restore the folder from a copy, or name an empty one"
        raise click.BadParameter(text, param_hint="--folder") from None
    try:
        server = StoreServer(loop, (host, int(port)), transaction_log, seed)
    except OSError as error:
        raise click.BadParameter(f"{listen}: {error.strerror}; take a free port", param_hint="--listen") from None
    if transaction_log.truncated_bytes:
        log("log_cut_off", level="warning", bytes=transaction_log.truncated_bytes)
    loop.on_signals((signal.SIGTERM, signal.SIGINT), lambda number: loop.stop())
    log(
        "listening",
        zxid=transaction_log.tree.zxid,
        sessions=len(transaction_log.tree.sessions),
        nodes=len(transaction_log.tree.nodes),
    )
    print(f"listening {server.address[0]}:{server.address[1]}", flush=True)
    loop.run()
    server.close()
    loop.close()
    log("stopped", zxid=transaction_log.tree.zxid)
    sys.stderr.flush()


@click.command()
@option("roster-connect", "connect", required=True, help="127.0.0.1:PORT of the store, several with commas between")
@option("roster-root", "root", default="/driftshed/servers", help="path that the nodes lie under")
@option("server", required=True, help="address:port that the server listens at")
@option("zone", required=True, help="its zone")
@option("kind", required=True, help="its kind")
@option("cell", type=click.IntRange(0, 65535), default=0, help="its cell")
@option("weight", type=click.FloatRange(0, 1e12), default=1.0, help="its listed weight")
@option("session-timeout", type=click.FloatRange(0.1, 60), default=6.0, help="seconds of silence that lapse a session")
@option("drain-for", type=click.FloatRange(0, 3600), default=5.0, help="seconds between draining and leaving")
@option("log-level", type=click.Choice(list(LEVELS)), default="info", help="lowest level that is logged")
def announce(
    connect: str,
    root: str,
    server: str,
    zone: str,
    kind: str,
    cell: int,
    weight: float,
    session_timeout: float,
    drain_for: float,
    log_level: str,
) -> None:
    """Announces a server until SIGTERM, then drains it and leaves. Exit code: 0, or 3 when another start of the server
    has acquired its address."""
    try:
        server_id(server)
    except InvalidServerName as error:
        raise click.BadParameter(str(error), param_hint="--server") from None
    log, loop, code = make_log("json", log_level), Loop(), 0
    node = ServerAnnouncement(server, zone, kind, "ready", time.time(), cell, weight, 0)

    def on_state_change(state: RegistrationState) -> None:
        nonlocal code
        log("standing", state=state.value, epoch=announcer.epoch)
        if state is RegistrationState.LISTED:
            print(f"listed {server} epoch {announcer.epoch}", flush=True)
        elif state is RegistrationState.FENCED:
            code = 3
            loop.stop()

    seed = time.time_ns()
    announcer = Announcer(
        loop, parse_hosts(connect, "roster-connect"), check_root(root), node, session_timeout, seed, on_state_change
    )

    def on_signal(number: int) -> None:
        if announcer.state is not RegistrationState.LISTED:
            announcer.stop()
            loop.stop()
            return
        log("draining", seconds=drain_for)
        announcer.set_server_state("draining", lambda: loop.after(drain_for, lambda: announcer.leave(loop.stop)))

    loop.on_signals((signal.SIGTERM, signal.SIGINT), on_signal)
    loop.run()
    loop.close()
    sys.stderr.flush()
    sys.exit(code)
