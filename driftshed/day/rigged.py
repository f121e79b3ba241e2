"""`python -m driftshed.day.rigged [OPTIONS] -- COMMAND ...`: runs a command of driftshed with faults or reporting
added.

With `--orders-to`, a supervisor proposes values on a few topics, votes on proposals of others, and periodically reports
to the test harness on which committed values its orders rest; without this it would have nothing to agree on. A
supervisor of a hierarchy proposes nothing, and reports the policy version that it follows while it may give orders.
Other options make the clock or the disk faulty, or remove a guard, so that the checkers are shown to detect it."""

from __future__ import annotations

import runpy
import sys
import time
from random import Random

import click
from msgspec import json

from driftshed.coordination import hierarchical_agent, participation
from driftshed.coordination.agent import Agent
from driftshed.day.agreement_checker import ORDER_PATH, RULES, OrderReport
from driftshed.day.hierarchy_judge import RUNS_PATH, VersionReport
from driftshed.day.policies import RULE as POLICIES
from driftshed.day.zones import RULE as ZONES
from driftshed.evacuation.overlay import Overlay
from driftshed.net.http import HttpClient
from driftshed.net.loop import Timers
from driftshed.policy import participant
from driftshed.policy.change import TOPIC, ActivationSchedule
from driftshed.proxy.follow import Follower
from driftshed.roster.announce import RegistrationState
from driftshed.roster.jute import ANY_VERSION, Multi, SetData
from driftshed.roster.log import TransactionLog

TOPICS = ("one", "two", "three")
ORDER_INTERVAL_S, PROPOSAL_INTERVAL_S, PROPOSAL_TIMEOUT_S = 0.1, (0.3, 1.2), 1.0  # seconds
POLICY_DELAY_S = 8.0  # by which a supervisor without the guard of policies applies a change late
OBJECTION_SHARE = 0.2  # of proposals, by supervisor


class AgreementWorkload:
    """Makes a supervisor propose, vote, and report its orders."""

    def __init__(self, loop: Timers, agent: Agent, sink: tuple[str, int]) -> None:
        """`sink`: the address of the harness, to which orders are reported."""
        self.loop, self.agent, self.client = loop, agent, HttpClient(loop, sink, max_idle=1)
        self.random, self.number = Random(agent.run_id), 0
        agent.vote_on = self._vote
        self._report_order()
        loop.after(self.random.uniform(*PROPOSAL_INTERVAL_S), self._propose)

    def _vote(self, record) -> tuple[bool, str]:
        objects = Random(f"{self.agent.name} {record.token}").random() < OBJECTION_SHARE
        return not objects, "drawn so" if objects else ""

    def _report_order(self) -> None:
        self.loop.after(ORDER_INTERVAL_S, self._report_order)
        agent = self.agent
        committed = {topic: standing for topic in list(agent.topics) if (standing := agent.value_in_force(topic))}
        if committed:
            rests_on = {topic: (each.epoch, each.token) for topic, each in committed.items()}
            body = json.encode(OrderReport(agent.name, agent.incarnation, rests_on))
            self.client.call("POST", ORDER_PATH, body, lambda answer: None, 1.0)

    def _propose(self) -> None:
        self.loop.after(self.random.uniform(*PROPOSAL_INTERVAL_S), self._propose)
        agent = self.agent
        topic = self.random.choice(TOPICS)
        if sum(len(known.proposals) for known in agent.topics.values()) < len(TOPICS):
            self.number += 1
            expected = agent.membership.expected
            agent.propose(topic, self.number, expected, len(expected) // 2 + 1, PROPOSAL_TIMEOUT_S)


class HierarchyReporter:
    """Reports for a supervisor of a hierarchy: while its whole chain of leases holds, the committed value of the topic
    of policies; while updates of its tables are not paused, the version that it follows."""

    def __init__(self, loop: Timers, agent: Agent, sink: tuple[str, int]) -> None:
        """`sink`: the address of the harness."""
        self.loop, self.agent, self.client = loop, agent, HttpClient(loop, sink, max_idle=2)
        self._report()

    def _report(self) -> None:
        self.loop.after(ORDER_INTERVAL_S, self._report)
        agent, policy = self.agent, getattr(self.agent, "policy_participant", None)
        standing = agent.committed_value(TOPIC)
        if standing is not None and agent.may_act():
            rests_on = {TOPIC: (standing.epoch, standing.token)}
            self._post(ORDER_PATH, OrderReport(agent.name, agent.incarnation, rests_on))
        if policy is not None and not policy._tables_frozen():
            self._post(RUNS_PATH, VersionReport(agent.name, agent.incarnation, policy.schedule.active_version()))

    def _post(self, path: str, report: OrderReport | VersionReport) -> None:
        self.client.call("POST", path, json.encode(report), lambda answer: None, 1.0)


def remove_guard(guard: str, name: str = "") -> None:
    """Removes one guard of the fleet in this process, so that its checker is shown to detect the violation. `name`: of
    the supervisor that this process runs, if any; only those with names ending in 0 violate the rule of policies."""
    if guard == "leases":  # acts without a lease, as long as it is listed
        Agent.holds_lease = lambda self: self.registration.state is RegistrationState.LISTED and not self.stopped
        hierarchical_agent.HierarchicalAgent.may_act = Agent.holds_lease
    elif guard == "epochs":  # writes regardless of the version in the store
        write = Agent._write

        def write_any_version(self, request, then) -> None:
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

        Agent._write = write_any_version
    elif guard == "zones":  # agrees to evacuations, and does not apply them
        Overlay.servers_to_leave = lambda self: set()
    elif guard == POLICIES and name.endswith("0"):  # applies committed changes long after the others
        original_due = ActivationSchedule.take_due
        ActivationSchedule.take_due = lambda self, now: original_due(self, now - POLICY_DELAY_S)
        participant.may_change_tables = lambda known, now: True
        participant.PolicyParticipant._tables_frozen = lambda self: False
    elif guard == "owners":  # a proxy whose terms do not increase
        dial = Follower._join

        def connect_without_terms(self) -> None:
            self.term = 0
            dial(self)

        Follower._join = connect_without_terms


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--orders-to", default="", help="address:port of the test harness")
@click.option("--clock-off", default=0.0, help="seconds by which the wall clock is ahead")
@click.option("--slow-disk", default=0.0, help="seconds added to each sync")
@click.option("--take-out", "guard", type=click.Choice([*RULES, ZONES, POLICIES]))
@click.argument("command", nargs=-1, type=click.UNPROCESSED)
def rigged(orders_to: str, clock_off: float, slow_disk: float, guard: str | None, command: tuple[str, ...]) -> None:
    """Runs COMMAND of driftshed with the changes that the options name."""
    if clock_off:
        real_time = time.time
        time.time = lambda: real_time() + clock_off
    if slow_disk:
        sync = TransactionLog.sync

        def slow_sync(self) -> None:
            time.sleep(slow_disk)
            sync(self)

        TransactionLog.sync = slow_sync
    if guard:
        remove_guard(guard, dict(zip(command, command[1:], strict=False)).get("--name", ""))
    if orders_to:
        host, _, port = orders_to.rpartition(":")
        take_part = participation.join_fleet

        def take_part_with_workload(loop, *args, **kwargs) -> Agent:
            agent = take_part(loop, *args, **kwargs)
            workload = HierarchyReporter if kwargs.get("tiers") is not None else AgreementWorkload
            agent.workload = workload(loop, agent, (host, int(port)))
            return agent

        def create_with_reference(self, loop, service, agent, *args, **kwargs) -> None:
            agent.policy_participant = self
            create(self, loop, service, agent, *args, **kwargs)

        participation.join_fleet = take_part_with_workload
        create, participant.PolicyParticipant.__init__ = participant.PolicyParticipant.__init__, create_with_reference
    sys.argv = ["driftshed", *command]
    runpy.run_module("driftshed.cli", run_name="__main__")


if __name__ == "__main__":
    rigged()
