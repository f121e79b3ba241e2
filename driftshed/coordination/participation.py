"""Fleet participation of a supervisor process: the member data it publishes and the fleet views of its API."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path

import click

from driftshed.coordination.agent import Agent
from driftshed.coordination.handover import handover_interval
from driftshed.coordination.hierarchical_agent import HierarchicalAgent
from driftshed.coordination.hierarchy import Hierarchy, HierarchyError, read_hierarchy
from driftshed.coordination.members import Member, MemberError, validate_name
from driftshed.coordination.view import to_plain_values
from driftshed.net.loop import Timers
from driftshed.net.stream import Stream, dial
from driftshed.supervisor.service import Service

PUBLISH_INTERVAL_S = 2.0  # between updates of the published member data


def parse_expected(name: str, expected: str) -> tuple[str, ...]:
    """Parses the comma-separated names of the fleet; raises click.BadParameter with the flag and the remedy."""
    names = tuple(filter(None, (each.strip() for each in expected.split(","))))
    try:
        for each in (name, *names):
            validate_name(each)
    except MemberError as error:
        raise click.BadParameter(str(error), param_hint="--name or --expected") from None
    if name not in names or len(set(names)) < len(names):
        text = f"{expected!r}: name every supervisor of the fleet once, {name!r} among them"
        raise click.BadParameter(text, param_hint="--expected")
    return names


def load_hierarchy(name: str, file: Path) -> Hierarchy:
    """Reads a hierarchy file that contains this supervisor; raises click.BadParameter with the flag and the remedy."""
    try:
        hierarchy = read_hierarchy(file.read_text())
        hierarchy.placement(name)
        return hierarchy
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"{file}: {error}; name a file that can be read", param_hint="--tiers") from None
    except HierarchyError as error:
        raise click.BadParameter(f"{file}: {error}", param_hint="--tiers or --name") from None


def join_fleet(
    loop: Timers,
    service: Service,
    hosts: list[tuple[str, int]],
    root: str,
    name: str,
    expected: str,
    timeout: float,
    log: Callable[..., object],
    advertise: str = "",
    seed: int | None = None,
    dial: Callable[..., Stream] = dial,
    tiers: Hierarchy | None = None,
) -> Agent:
    """Joins the fleet and returns the agent. Joining never blocks the supervisor, which serves alike without a fleet.

    `seed` of the random generator: drawn unless given. With `tiers`, the hierarchy determines the fleet, its members
    and its store, and `hosts`, `root` and `expected` are ignored; raises HierarchyError where `name` is not in it."""
    host, port = service.address
    member = Member(name, advertise or f"{host}:{port}", version("driftshed"))
    seed = int.from_bytes(os.urandom(6), "big") if seed is None else seed
    if tiers is not None:
        agent = HierarchicalAgent(loop, tiers, member, timeout, seed, log, dial)
    else:
        agent = Agent(loop, hosts, root, member, parse_expected(name, expected), timeout, seed, log, dial)
    service.live_supervisors = lambda: agent.addresses
    service.views["fleet"] = lambda: to_plain_values(agent.view())
    zones = service.instance.facts.zones

    def publish() -> None:
        joined = Counter(zones[poll.record.zone] for poll in service.streams.values())
        agent.publish(proxies=joined.total(), zones=dict(sorted(joined.items())))
        loop.after(PUBLISH_INTERVAL_S, publish)

    publish()
    return agent


def leave_fleet(agent: Agent, service: Service, on_done: Callable[[], object]) -> None:
    """Graceful shutdown: announces it, hands the proxies over at the rate of the other supervisors' channels, leaves
    the fleet and calls `on_done`; immediately where no other supervisor is present."""

    def on_drained() -> None:
        agent.leave()
        on_done()

    others = [each for each in agent.addresses if each != agent.registration.node.address]
    if not others:
        on_drained()
        return
    agent.publish(state="leaving")
    rate = service.instance.facts.lines_per_second
    service.hand_over(lambda lines: handover_interval(lines, rate, len(others)), on_drained)
