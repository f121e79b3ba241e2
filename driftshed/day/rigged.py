"""`python -m driftshed.day.rigged [what is changed] -- COMMAND ...`: a command of driftshed as a process of the rig.

A supervisor so run gives orders that rest on agreements, since by itself it has nothing to agree on: it proposes on a
few topics, has a word on what others propose, and tells the rig again and again on what it acts. One of a fleet in
tiers tells which policy it goes by while it may order, and on what it acts; it proposes nothing. Clocks and disks are
made bad here, and for the checkers to be seen to fail a guard is taken out."""

from __future__ import annotations

import runpy
import sys
import time
from random import Random

import click
from msgspec import json

from driftshed.coordination import taking_part, tiered
from driftshed.coordination.agent import Agent
from driftshed.day.accord import ORDERS, RULES, Ordered
from driftshed.day.policies import RULE as POLICIES
from driftshed.day.tiers_accord import RUNS, Runs
from driftshed.day.zones import RULE as ZONES
from driftshed.evacuation.overlay import Overlay
from driftshed.net.http import HttpClient
from driftshed.net.loop import Timers
from driftshed.policy import part
from driftshed.policy.change import TOPIC, Course
from driftshed.proxy.follow import Follower
from driftshed.roster.announce import Standing
from driftshed.roster.jute import ANY_VERSION, Multi, SetData
from driftshed.roster.log import Log

TOPICS = ("one", "two", "three")
ORDER_EVERY, PROPOSE_EVERY, PATIENCE = 0.1, (0.3, 1.2), 1.0  # seconds
LATE = 8.0  # seconds that a supervisor whose guard of policies is out takes a change up late
OBJECTS = 0.2  # share of proposals that a supervisor objects to


class Acting:
    """What a supervisor does on the strength of agreements. `sink`: address of the rig."""

    def __init__(self, loop: Timers, agent: Agent, sink: tuple[str, int]) -> None:
        self.loop, self.agent, self.client = loop, agent, HttpClient(loop, sink, idle_most=1)
        self.random, self.number = Random(agent.run), 0
        agent.judge = self._word
        self._order()
        loop.after(self.random.uniform(*PROPOSE_EVERY), self._propose)

    def _word(self, record) -> tuple[bool, str]:
        objects = Random(f"{self.agent.name} {record.token}").random() < OBJECTS
        return not objects, "drawn so" if objects else ""

    def _order(self) -> None:
        self.loop.after(ORDER_EVERY, self._order)
        agent = self.agent
        stands = {topic: standing for topic in list(agent.topics) if (standing := agent.agreed(topic))}
        if stands:
            rests_on = {topic: (each.epoch, each.token) for topic, each in stands.items()}
            body = json.encode(Ordered(agent.name, agent.incarnation, rests_on))
            self.client.call("POST", ORDERS, body, lambda answer: None, 1.0)

    def _propose(self) -> None:
        self.loop.after(self.random.uniform(*PROPOSE_EVERY), self._propose)
        agent = self.agent
        topic = self.random.choice(TOPICS)
        if sum(len(known.proposals) for known in agent.topics.values()) < len(TOPICS):
            self.number += 1
            expected = agent.roll.expected
            agent.propose(topic, self.number, expected, len(expected) // 2 + 1, PATIENCE)


class ActingInTiers:
    """What a supervisor of a fleet in tiers does, as the rig is told: while its whole chain of leases holds, what
    stands on the topic of policies; while its tables do not hold still, the version that it goes by."""

    def __init__(self, loop: Timers, agent: Agent, sink: tuple[str, int]) -> None:
        self.loop, self.agent, self.client = loop, agent, HttpClient(loop, sink, idle_most=2)
        self._tell()

    def _tell(self) -> None:
        self.loop.after(ORDER_EVERY, self._tell)
        agent, policy = self.agent, getattr(self.agent, "policy_part", None)
        standing = agent.standing(TOPIC)
        if standing is not None and agent.acts():
            rests_on = {TOPIC: (standing.epoch, standing.token)}
            self._post(ORDERS, Ordered(agent.name, agent.incarnation, rests_on))
        if policy is not None and not policy._holds_still():
            self._post(RUNS, Runs(agent.name, agent.incarnation, policy.course.version()))

    def _post(self, path: str, said: Ordered | Runs) -> None:
        self.client.call("POST", path, json.encode(said), lambda answer: None, 1.0)


def take_out(guard: str, name: str = "") -> None:
    """Makes this process, a supervisor of this name if it is one, break one rule of the fleet, so that its checker is
    seen to fail."""
    if guard == "leases":  # acts as long as it has heard of nothing else
        Agent.holds = lambda self: self.chair.standing is Standing.LISTED and not self.stopped
        tiered.Tiered.acts = Agent.holds
    elif guard == "epochs":  # writes over whatever is there
        write = Agent._write

        def over(self, request, then) -> None:
            if isinstance(request, SetData):
                request = request._replace(version=ANY_VERSION)
            elif isinstance(request, Multi):
                request = Multi(
                    tuple(
                        each._replace(version=ANY_VERSION) if isinstance(each, SetData) else each
                        for each in request.parts
                    )
                )
            write(self, request, then)

        Agent._write = over
    elif guard == "zones":  # agrees, and does not do it
        Overlay.wanted = lambda self: set()
    elif guard == POLICIES and name.endswith("0"):  # takes up what is settled long after the others
        due = Course.due
        Course.due = lambda self, now: due(self, now - LATE)
        part.may_change_tables = lambda known, now: True
        part.PolicyPart._holds_still = lambda self: False
    elif guard == "owners":  # a proxy whose terms do not rise
        dial = Follower._dial

        def again(self) -> None:
            self.term = 0
            dial(self)

        Follower._dial = again


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--orders-to", default="", help="address:port of the rig")
@click.option("--clock-off", default=0.0, help="seconds that the wall clock is ahead")
@click.option("--slow-disk", default=0.0, help="seconds that each sync takes besides")
@click.option("--take-out", "guard", type=click.Choice([*RULES, ZONES, POLICIES]))
@click.argument("command", nargs=-1, type=click.UNPROCESSED)
def rigged(orders_to: str, clock_off: float, slow_disk: float, guard: str | None, command: tuple[str, ...]) -> None:
    """Runs COMMAND of driftshed, changed as told."""
    if clock_off:
        right = time.time
        time.time = lambda: right() + clock_off
    if slow_disk:
        sync = Log.sync

        def slow(self) -> None:
            time.sleep(slow_disk)
            sync(self)

        Log.sync = slow
    if guard:
        take_out(guard, dict(zip(command, command[1:], strict=False)).get("--name", ""))
    if orders_to:
        host, _, port = orders_to.rpartition(":")
        take_part = taking_part.take_part

        def taking(loop, *given, **more) -> Agent:
            agent = take_part(loop, *given, **more)
            acting = ActingInTiers if more.get("tiers") is not None else Acting
            agent.acting = acting(loop, agent, (host, int(port)))
            return agent

        def made(self, loop, service, agent, *given, **more) -> None:
            agent.policy_part = self
            make(self, loop, service, agent, *given, **more)

        taking_part.take_part = taking
        make, part.PolicyPart.__init__ = part.PolicyPart.__init__, made
    sys.argv = ["driftshed", *command]
    runpy.run_module("driftshed.cli", run_name="__main__")


if __name__ == "__main__":
    rigged()
