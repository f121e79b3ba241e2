"""A supervisor as a process takes part in its fleet: what it says of itself, and what its API shows."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path

import click

from driftshed.coordination.agent import Agent
from driftshed.coordination.members import Member, MemberError, validate_name
from driftshed.coordination.parting import apart
from driftshed.coordination.tiered import Tiered
from driftshed.coordination.tiers import BadTiers, Tiers, read_tiers
from driftshed.coordination.view import plain
from driftshed.net.loop import Timers
from driftshed.net.stream import Stream, dial
from driftshed.supervisor.service import Service

SAY_EVERY = 2.0  # seconds between looks at what is to be said


def roll_of(name: str, expected: str) -> tuple[str, ...]:
    """The names of the fleet; click.BadParameter names the flag and the remedy."""
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


def tiers_of(name: str, file: Path) -> Tiers:
    """The tiers of a file in which this supervisor has a place; click.BadParameter names the flag and the remedy."""
    try:
        tiers = read_tiers(file.read_text())
        tiers.place(name)
        return tiers
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"{file}: {error}; name a file that can be read", param_hint="--tiers") from None
    except BadTiers as error:
        raise click.BadParameter(f"{file}: {error}", param_hint="--tiers or --name") from None


def take_part(
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
    tiers: Tiers | None = None,
) -> Agent:
    """Joins the fleet; `seed` of chance, drawn unless given. What the supervisor does by itself does not wait for it,
    and stays as it is without it. With `tiers` these say which fleet, whom it expects and where its store is, and
    `hosts`, `root` and `expected` are not looked at; BadTiers where `name` is in none."""
    host, port = service.address
    member = Member(name, advertise or f"{host}:{port}", version("driftshed"))
    seed = int.from_bytes(os.urandom(6), "big") if seed is None else seed
    if tiers is not None:
        agent = Tiered(loop, tiers, member, timeout, seed, log, dial)
    else:
        agent = Agent(loop, hosts, root, member, roll_of(name, expected), timeout, seed, log, dial)
    service.living = lambda: agent.addresses
    service.views["fleet"] = lambda: plain(agent.view())
    zones = service.instance.facts.zones

    def say() -> None:
        joined = Counter(zones[poll.record.zone] for poll in service.polls.values())
        agent.say(proxies=joined.total(), zones=dict(sorted(joined.items())))
        loop.after(SAY_EVERY, say)

    say()
    return agent


def leave(agent: Agent, service: Service, done: Callable[[], object]) -> None:
    """A stop in peace: says so, hands the proxies over at the pace of the others' channels, and goes; at once where
    nobody else is there."""

    def gone() -> None:
        agent.leave()
        done()

    others = [each for each in agent.addresses if each != agent.chair.node.address]
    if not others:
        gone()
        return
    agent.say(state="leaving")
    rate = service.instance.facts.lines_per_second
    service.hand_over(lambda lines: apart(lines, rate, len(others)), gone)
