"""`driftshed supervise`: runs one supervisor as a process."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

import click

from driftshed.common.logs import LEVELS, make_log
from driftshed.common.options import option
from driftshed.core.instance import Instance
from driftshed.net.http_server import Bounds
from driftshed.net.loop import Loop
from driftshed.roster.command import check_root, parse_hosts
from driftshed.roster.follow import RosterFollower
from driftshed.roster.membership import Membership
from driftshed.supervisor.flags import fact_options, start_facts
from driftshed.supervisor.service import Service
from driftshed.trace.recording import Recording
from driftshed.trace.writer import TraceWriter, schedule_trace_flush


@click.command()
@option("listen", type=click.STRING, default="127.0.0.1:0", help="address:port; port 0 selects a free one")
@option("seed", type=click.IntRange(0, 2**63 - 1), default=1, help="seed of the instance's random numbers")
@option("wait-most", type=click.FloatRange(0.1, 600), default=20.0, help="seconds that a poll is held")
@option("silence", type=click.FloatRange(0.1, 600), default=3.0, help="seconds without a poll that end a stream")
@option("connections", type=click.IntRange(1, 100000), default=16384, help="most connections accepted")
@option("body-bytes", type=click.IntRange(1024, 1 << 28), default=1 << 20, help="largest body accepted")
@option("log-form", type=click.Choice(["json", "console"]), default="json", help="how logs are written")
@option("log-level", type=click.Choice(list(LEVELS)), default="info", help="lowest level that is logged")
@option("trace", type=click.Path(file_okay=False, path_type=Path), help="record events and orders in this folder")
@option("trace-size", type=click.FloatRange(0.01, 100000), default=64.0, help="approximate megabytes of a trace file")
@option("trace-age", type=click.FloatRange(1, 864000), default=3600.0, help="seconds after which a new file begins")
@option("trace-fsync", type=click.FloatRange(0, 3600), default=1.0, help="seconds between syncs; 0: after each block")
@option("roster-connect", "connect", default="", help="127.0.0.1:PORT,... of a store whose nodes are the roster")
@option("roster-root", "root", default="/driftshed/servers", help="parent path of the roster's nodes")
@option(
    "session-timeout",
    type=click.FloatRange(0.1, 60),
    default=6.0,
    help="seconds of silence after which a session expires",
)
@option(
    "lapse-hold",
    type=click.FloatRange(0, 3600),
    default=4.0,
    help="seconds that a server stays listed after its session expired",
)
@option(
    "lapse-hold-most",
    type=click.FloatRange(0, 86400),
    default=60.0,
    help="the same after many sessions expired at once",
)
@option(
    "fleet-connect", default="", help="127.0.0.1:PORT,... of the store through which supervisors discover each other"
)
@option("fleet-root", default="/driftshed/fleet", help="parent path of the fleet's nodes")
@option(
    "advertise", default="", help="address:port announced to proxies of other supervisors; default: that of --listen"
)
@option("name", default="", help="this supervisor's name in the fleet, the same at each start")
@option("expected", default="", help="NAME,... of all supervisors of the fleet, including this one")
@option(
    "fleet-timeout",
    type=click.FloatRange(0.1, 60),
    default=6.0,
    help="seconds of silence after which its session expires",
)
@option(
    "tiers",
    type=click.Path(dir_okay=False, path_type=Path),
    help="file that describes a fleet in tiers, to which this supervisor belongs",
)
@option("leave-zones", is_flag=True, default=False, help="leave zones that fail and return to them, as a fleet")
@option("zone-limits", default="", help="lasting=4,pace=2,step=0.5,trickle=0.1,rest=10,rest_most=160,ceiling=0.5")
@option("regions", default="", help="REGION=ZONE+ZONE,...: zones that are left together if they fail together")
@option(
    "policy-folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="follow the fleet's policy and store it in this folder",
)
@fact_options
def supervise(
    listen: str,
    seed: int,
    wait_most: float,
    silence: float,
    connections: int,
    body_bytes: int,
    log_form: str,
    log_level: str,
    trace: Path | None,
    trace_size: float,
    trace_age: float,
    trace_fsync: float,
    connect: str,
    root: str,
    session_timeout: float,
    lapse_hold: float,
    lapse_hold_most: float,
    fleet_connect: str,
    fleet_root: str,
    advertise: str,
    name: str,
    expected: str,
    fleet_timeout: float,
    tiers: Path | None,
    leave_zones: bool,
    zone_limits: str,
    regions: str,
    policy_folder: Path | None,
    **given: object,
) -> None:
    """Runs a supervisor until SIGTERM or SIGINT. The first line on standard output is its listening address."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise click.BadParameter(f"{listen!r}: write address:port, such as 127.0.0.1:7000", param_hint="--listen")
    if not host.startswith("127."):
        raise click.BadParameter(f"{host!r}: loopback alone is served; use an address of 127.", param_hint="--listen")
    facts = start_facts(given)
    log = make_log(log_form, log_level)
    loop = Loop()
    loop.on_error = lambda error: log("fault", level="error", error=f"{type(error).__name__}: {error}")
    run = os.urandom(5).hex()
    instance = Instance(facts, seed, run, loop.clock(), wall_offset=time.monotonic() - time.time())
    try:
        service = Service(
            loop,
            instance,
            (host, int(port)),
            log,
            wait_most,
            silence,
            Bounds(body_bytes=body_bytes, connections=connections),
        )
    except OSError as error:
        raise click.BadParameter(
            f"{listen}: {error.strerror}; choose a free port, or 0", param_hint="--listen"
        ) from None

    if connect:
        if lapse_hold_most < lapse_hold:
            text = f"{lapse_hold_most}: must not be below --lapse-hold ({lapse_hold})"
            raise click.BadParameter(text, param_hint="--lapse-hold-most")
        follower = RosterFollower(
            loop,
            parse_hosts(connect, "roster-connect"),
            check_root(root),
            facts.zones,
            facts.kinds,
            Membership(lapse_hold, lapse_hold_most),
            service.apply_roster_update,
            log,
            seed,
            session_timeout,
        )
        service.roster_source, instance.on_server_answered = connect, follower.record_answer

    agent = None
    if tiers is not None:  # Imported only here: a standalone supervisor does not need it.
        from driftshed.coordination.participation import join_fleet, leave_fleet, load_hierarchy

        for flag, given_too in (("fleet-connect", fleet_connect), ("expected", expected), ("leave-zones", leave_zones)):
            if given_too:
                text = f"--{flag} does not go with it: the file names the members; only a flat fleet leaves zones"
                raise click.BadParameter(text, param_hint="--tiers")
        agent = join_fleet(
            loop, service, [], "", name, "", fleet_timeout, log, advertise, tiers=load_hierarchy(name, tiers)
        )
    elif fleet_connect:
        from driftshed.coordination.participation import join_fleet, leave_fleet

        agent = join_fleet(
            loop,
            service,
            parse_hosts(fleet_connect, "fleet-connect"),
            check_root(fleet_root),
            name,
            expected,
            fleet_timeout,
            log,
            advertise,
        )
    if leave_zones:
        if agent is None:
            raise click.BadParameter(
                "only a fleet can leave zones: give --fleet-connect too", param_hint="--leave-zones"
            )
        from driftshed.evacuation.controller import Evacuation
        from driftshed.evacuation.places import read_regions
        from driftshed.evacuation.stages import read_limits

        try:
            limits, by_region = read_limits(zone_limits), read_regions(regions, facts.zones)
        except ValueError as error:
            raise click.BadParameter(str(error), param_hint="--zone-limits or --regions") from None
        agent.evacuation = Evacuation(loop, service, agent, limits, log, by_region)

    if policy_folder is not None:
        if agent is None:
            text = "only a fleet has a policy: give --fleet-connect or --tiers too"
            raise click.BadParameter(text, param_hint="--policy-folder")
        from driftshed.policy.participant import PolicyParticipant
        from driftshed.policy.store import PolicyStore, PolicyStoreError

        try:
            fleet = fleet_root if tiers is None else "tiers"
            PolicyParticipant(loop, service, agent, PolicyStore(policy_folder, fleet, name), log)
        except PolicyStoreError as error:
            raise click.BadParameter(str(error), param_hint="--policy-folder") from None

    writer = None
    if trace is not None:
        try:
            source, size = f"supervisor-{facts.own_number}", int(trace_size * 1e6)
            writer = TraceWriter(trace, source, {"run": run}, size, trace_age, trace_fsync)
        except OSError as error:
            text = f"{trace}: {error.strerror}; name a writable folder"
            raise click.BadParameter(text, param_hint="--trace") from None
        for name, blocks, bytes_cut_off in writer.recovered:
            log("trace_recovered", file=name, blocks=blocks, bytes_cut_off=bytes_cut_off)
        recording = Recording(instance, writer)
        service.on_message = recording.record_message
        if leave_zones:
            agent.evacuation.on_decision = recording.record_decision
        schedule_trace_flush(loop, writer, log)

    def stop(signal_number: int) -> None:
        log("stopping", signal=signal.Signals(signal_number).name)
        if agent is None:
            service.stop()
        elif service.handing_over:  # second signal: stop without a hand-over
            agent.leave()
            service.stop()
        else:
            leave_fleet(agent, service, service.stop)

    loop.on_signals((signal.SIGTERM, signal.SIGINT), stop)
    log("listening", address=f"{service.address[0]}:{service.address[1]}", run=run, seed=seed)
    print(f"listening {service.address[0]}:{service.address[1]}", flush=True)
    loop.run()
    loop.close()
    if writer is not None and not writer.close(0.5):
        log("trace_unfinished", level="warning", why="the disk did not accept the data in time")
    log("stopped")
    sys.stderr.flush()
