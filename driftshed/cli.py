"""The command line: one `driftshed` command with sub-commands."""

from __future__ import annotations

import click

from driftshed.coordination.command import fleet
from driftshed.day.command import day
from driftshed.evacuation.command import zone
from driftshed.evacuation.replay import replay_decision as zone_decided_again
from driftshed.lab.command import lab
from driftshed.policy.command import policy
from driftshed.proxy.command import proxy
from driftshed.roster.command import announce, roster
from driftshed.supervisor.command import supervise
from driftshed.trace.command import DECISION_CHECKERS, trace


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="driftshed")
def main() -> None:
    """Controls which servers proxies send their work to."""


main.add_command(supervise)
main.add_command(day)
main.add_command(proxy)
main.add_command(trace)
main.add_command(lab)
main.add_command(roster)
main.add_command(announce)
main.add_command(fleet)
main.add_command(zone)
main.add_command(policy)

DECISION_CHECKERS |= {"zone": zone_decided_again, "region": zone_decided_again}

if __name__ == "__main__":
    main()
