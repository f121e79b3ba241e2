"""How near a supervisor says that it has come to breaking each rule, beside what the servers and proxies of a play
have seen."""

import time

import msgspec
import pytest

from driftshed.figures import server_label
from driftshed.lab.virtual import Seat, VirtualLoop
from driftshed.node.rule_margins import Worst
from driftshed.standins.platform.fleet import PROXIES, SUPERVISORS, Fleet
from driftshed.standins.platform.plans import DRAWS
from driftshed.standins.platform.settings import fleet_options
from driftshed.standins.platform.virtual import VirtualSupervisor, play
from tests.platforms import chunk, roster_update, server_entry

KEPT_CHARACTERS = 300  # of a log line, in the reports of the users
PLAY_S = 56.0


def test_the_worst_case_of_each_rule_is_told_within_what_reports_keep_of_a_line(platform):
    """Guards against reports whose lines are cut short before anything tells which rule broke, when and where."""
    platform.start(0, 1)
    margins = platform.service.host.margins
    for rule, named in (("drain", "s" * 16), ("cold", "s" * 16), ("table", None), ("lines", None), ("messages", None)):
        proxy = None if rule in ("cold", "lines") else 65_535
        margins.worst[rule] = Worst(1234.56, named, proxy, 12_345.67)
    platform.logged.clear()
    platform.until(lambda: any(event == "second" for event, _ in platform.logged))
    fields = next(fields for event, fields in platform.logged if event == "second")
    line = {"event": "second", "level": "info", "timestamp": round(time.time(), 3)} | fields
    kept = msgspec.json.encode(line)[:KEPT_CHARACTERS].decode()
    assert set(margins.worst) == set(fields["worst"]) == {"drain", "cold", "table", "lines", "messages"}
    assert f'"worst":{msgspec.json.encode(fields["worst"]).decode()}' in kept


def test_a_drain_is_timed_from_its_list_to_the_last_answer(platform):
    """Guards against late drains that no line of the log shows."""
    platform.start(0, 1)
    platform.answers_marks = False
    platform.lists[-1].write(chunk(roster_update(4, server_entry(0, "draining"))))
    margins = platform.service.host.margins
    platform.until(lambda: any(row for row in margins.drains.holds.values()))
    platform.until(lambda: all(hold.ordered_at for hold in margins.drains.lasting()) and not _waits(platform))
    assert {hold.proxy for hold in margins.drains.lasting()} == {0, 1}
    assert not margins.worst["drain"].value
    platform.loop.run(platform.loop.clock() + 1.2)
    mark = platform.service.host.brain.last_mark
    for proxy in (0, 1):
        platform.notify_all("ACK", id=proxy, seq=mark, ms=1.0)
    platform.until(lambda: not margins.drains.lasting())
    assert 1.2 <= margins.worst["drain"].value < 3.0
    assert margins.worst["drain"].server == "s-0"
    told = [fields for event, fields in platform.logged if event == "worst" and fields["rule"] == "drain"]
    assert told and told[0]["ordered"] is not None  # beyond half of the grace


def _waits(platform) -> bool:
    return bool(platform.service.host.orders.waiting)


def test_the_drains_that_supervisors_time_are_no_shorter_than_those_that_servers_see():
    """Guards against a record that misses what the rule counts."""
    options, loop = fleet_options(SUPERVISORS, PROXIES), VirtualLoop()
    timers = Seat(loop, "fleet")
    fleet = Fleet(timers, options.facts, 2027, unix_offset=1.75e9)
    supervisors = [VirtualSupervisor(timers, options._replace(seed=seat.number), seat, 1.75e9) for seat in fleet.seats]
    for seat, supervisor in zip(fleet.seats, supervisors, strict=True):
        seat.connect(supervisor)
    fleet.begin()
    loop.run(30.0)
    margins = [supervisor.host.margins for supervisor in supervisors if supervisor.host is not None]
    assert 0.5 < fleet.latest_send <= max(each.worst["drain"].value for each in margins)
    assert all(each.worst["lines"].value <= options.facts.queue_cap for each in margins)
    assert max(each.worst["cold"].value for each in margins) > 0.1


@pytest.mark.parametrize(("kind", "seed"), [("usual", 201), ("slow", 205), ("troubled", 201), ("flood", 201)])
def test_the_log_neither_misses_what_the_judge_sees_nor_tells_a_break_that_it_does_not_see(kind, seed):
    """Guards against a last line that can neither find a broken rule nor rule one out."""
    plan = DRAWS[kind](seed)
    fleet = play(fleet_options(SUPERVISORS, PROXIES, plan.figures), seed, PLAY_S, plan)
    assert not fleet.breaks, fleet.breaks[:5]
    ports = [seat.port for seat in fleet.seats]
    for port in ports:
        port.note_open_drain()
    margins = [each for port in ports for each in port.margins]
    answered = max([each.worst["drain"].value for each in margins] + [port.longest_open_drain for port in ports])
    ordered = max(each.drains.longest_to_order for each in margins)
    assert 0.3 < fleet.latest_send <= answered
    assert ordered + fleet.facts.transit <= fleet.facts.drain_grace  # a proxy that joins is taken to hold what has left
    by_reports, by_warmth = (
        max(each.worst["cold"].value for each in margins),
        max(each.heaviest_by_warmth for each in margins),
    )
    assert by_reports >= fleet.worst_expected.multiple
    if kind != "flood":  # where hardly a server is warm, what the fleet can answer is estimated far too low
        assert by_warmth <= fleet.facts.tip_multiple


def test_servers_are_named_in_the_log_as_the_list_names_them():
    """Guards against ids in hex, which nobody finds in a list."""
    assert server_label(b"s-e71c0f12") == "s-e71c0f12"
    assert server_label(bytes([10, 0, 0, 1, 31, 64])) == "0a0000011f40"
