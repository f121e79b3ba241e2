"""Cold servers at the real program, over loopback, with a relay, discovery and a collector of our own."""

import time

import pytest

from driftshed.adapter.facts import read_facts
from driftshed.net.stream import dial
from driftshed.node.config import parse_address
from driftshed.node.resp import encode_message
from tests.cold_fleets import ColdServerJudge
from tests.helpers import FACTS
from tests.platforms import Platform, chunk, roster_update, server_entry
from tests.test_crossings_process import Process
from tests.test_net import run_until

PROXIES, LOAD = 6, 0.9  # joined proxies; arrivals over the capacity of all servers
SICK, WARM, COLD, SUCCESSOR = range(4)  # numbers of the servers; the last one is listed later
REPORT_INTERVAL_S = 0.5
WITHDRAWAL_S = 10.0  # after it a server that was withdrawn returns
UNNOTICED_S = 1.9  # for which a proxy's stream is broken unseen (notice_ms of the site)


class RealFleet(Platform):
    """Three servers and six proxies, each of which brings one arrival a second; proxies apply orders at once."""

    def __init__(self, folder) -> None:
        super().__init__(serve=False)
        self.program = Process(folder, self, known=roster_update(3, *map(server_entry, range(3)), full=True))
        self.program.start()
        self.until(lambda: len(self.watches) >= 2 and self.lists)
        self.collector = dial(self.loop, parse_address(self.program.document["listen"], "listen"))
        self.collector.write(encode_message("SOURCE", "site", "east"))
        self.cold_since: float | None = None
        self.judge: ColdServerJudge | None = None
        self.loop.after(0.0, self._report)

    def _report(self) -> None:
        """All tries at the first server fail, and none at the others."""
        for number in range(3):
            fields = {"site": "east", "target": f"s-{number}", "count": "60", "over": str(1000 * REPORT_INTERVAL_S)}
            fields |= {"fail": "36" if number == SICK else "0", "mean": "60", "util": "inflight:1,util:0.5"}
            self.collector.write(encode_message("LOAD", *(each for pair in fields.items() for each in pair)))
        self.loop.after(REPORT_INTERVAL_S, self._report)

    def tell(self, version: int, *servers: dict) -> None:
        for stream in self.lists:
            if stream.sock:
                stream.write(chunk(roster_update(version, *servers)))

    def cold_share(self) -> float:
        """The share of all arrivals that the cold server gets."""
        lines, groups, withdrawn = self.applied_state()
        shares = []
        for group in groups.values():
            usable = {server: weight for server, weight in lines[group].items() if weight and server not in withdrawn}
            shares.append(usable.get(f"s-{COLD}", 0.0) / (sum(usable.values()) or 1.0))
        return sum(shares) / len(shares)

    def judge_for(self, seconds: float) -> None:
        """Follows the load of the cold server for so long."""
        end = at = self.loop.clock()
        end += seconds
        while at < end:
            run_until(self.loop, lambda since=at: self.loop.clock() >= since + 0.02)
            now = self.loop.clock()
            if self.cold_since is not None:
                work = self.cold_share() * PROXIES
                capacity = PROXIES / LOAD / 3 * self.judge.warmth(now - self.cold_since)
                self.judge.record(COLD, now, now - at, work, work, capacity)
            at = now


@pytest.fixture
def fleet(tmp_path):
    fleet = RealFleet(tmp_path)
    yield fleet
    fleet.program.terminate()
    fleet.collector.abort("over")
    fleet.close()


def test_a_drain_while_a_healthy_server_waits_to_be_let_in_again_spares_the_cold_one(fleet):
    """Guards against a cold server that gets all work, since the return of a warm one waits for a proxy's answer."""
    fleet.join(*range(PROXIES))
    fleet.until(lambda: set(fleet.applied_state()[1]) == set(range(PROXIES)))
    fleet.judge = ColdServerJudge(read_facts(FACTS))
    fleet.until(lambda: fleet.applied_state()[2] == {f"s-{SICK}"})
    fleet.judge_for(WITHDRAWAL_S - 0.5)
    fleet.silent.add(0)
    fleet.cold_since = fleet.loop.clock() - 0.7
    fleet.tell(4, server_entry(COLD, started_ms=round(1000 * (time.time() - 0.7))))
    fleet.judge_for(0.9)
    fleet.tell(5, server_entry(WARM, state="draining"))
    fleet.judge_for(UNNOTICED_S - 0.9)
    fleet.notify_all("CLOSED", id=0)
    fleet.judge_for(2.0)
    lines, groups, _ = fleet.applied_state()
    assert all(not lines[group].get(f"s-{WARM}") for group in groups.values())
    assert fleet.judge.worst.multiple <= fleet.judge.facts.tip_multiple


def test_a_restart_told_right_after_a_drain_is_cut_before_other_orders_reach_the_holders(fleet):
    """Guards against a new line that goes out with knowledge of a restart, while the cut waits for its turn."""
    fleet.join(*range(PROXIES))
    fleet.until(lambda: set(fleet.applied_state()[1]) == set(range(PROXIES)))
    fleet.judge_for(1.0)
    fleet.tell(4, server_entry(WARM, state="draining"))
    fleet.until(lambda: any(not lines.get(f"s-{WARM}", 1.0) for lines in fleet.applied_state()[0].values()))
    full_line = max(lines[f"s-{COLD}"] for lines in fleet.applied_state()[0].values())
    restarted = server_entry(COLD, started_ms=round(1000 * (time.time() - 0.7)))
    fleet.tell(5, restarted, server_entry(SUCCESSOR))
    fleet.until(lambda: any(f"s-{SUCCESSOR}" in lines for lines in fleet.applied_state()[0].values()))
    assert all(lines[f"s-{COLD}"] < full_line / 2 for lines in fleet.applied_state()[0].values())
