"""The module forgets servers that are gone: its memory and its work per batch depend on the present servers alone."""

import gc
import sys
from collections import deque
from random import Random
from types import FunctionType, ModuleType

import pytest

from benchmarks.events import make_facts, server_address
from driftshed import interface as face
from driftshed.brain import VIEW_WINDOW_S, Brain
from driftshed.figures import median
from tests.helpers import SimulatedFleet, server
from tests.test_rules import Judge

FLEET, REPLACED_PER_BATCH, EVER_LISTED = 40, 10, 20_000  # servers
BYTES_PER_SERVER = 600  # of growth, for each server ever listed


def size_of(brain: Brain) -> int:
    """Bytes of all objects reachable from an instance, without classes, functions and modules."""
    seen, queue, total = {id(brain)}, [brain], 0
    while queue:
        item = queue.pop()
        total += sys.getsizeof(item)
        for referent in gc.get_referents(item):
            if id(referent) not in seen and not isinstance(referent, type | FunctionType | ModuleType):
                seen.add(id(referent))
                queue.append(referent)
    return total


def lines_of_a_batch(brain: Brain, now: float, events: list) -> int:
    counted = [0]

    def trace(frame, kind, _):
        if not frame.f_code.co_filename.endswith(("brain.py", "figures.py")):
            return None
        counted[0] += kind in ("line", "call")
        return trace

    sys.settrace(trace)
    try:
        brain.handle(now, events)
    finally:
        sys.settrace(None)
    return counted[0]


class ReplacedFleet:
    """A fleet whose oldest servers are replaced in each batch; reports come for each new one and each that has left."""

    def __init__(self) -> None:
        self.brain, self.now = Brain(make_facts(8), 1, 0.0), 0.0
        self.alive, self.listed_count = deque(range(FLEET)), FLEET
        entries = tuple(self.entry(n, started=None) for n in self.alive)
        joins = [face.Joined(p % 2, True, p, 3.0) for p in range(8)]
        self.brain.handle(self.now, [face.Listing(1, face.CACHED, entries), *joins])

    def entry(self, n: int, state: int = face.READY, started: float | None = None) -> face.Entry:
        return face.Entry(server_address(n), n % 2, n // 2 % 2, started, 0, state, 1.0)

    def next_events(self) -> list:
        self.now += 0.5
        gone = [self.alive.popleft() for _ in range(REPLACED_PER_BATCH)]
        new = list(range(self.listed_count, self.listed_count + REPLACED_PER_BATCH))
        self.listed_count += REPLACED_PER_BATCH
        self.alive.extend(new)
        changes = [self.entry(n, face.GONE) for n in gone] + [self.entry(n, started=self.now - 1) for n in new]
        answers = [face.Applied(mark, proxy, 0.1) for proxy, mark in self.brain.unanswered.items()]
        reports = [face.Heard(0, server_address(n), 12, 0.5, zone, 0.1, None) for n in gone + new for zone in (0, 1)]
        return [face.TimerDue(0), *answers, face.Listing(2, face.DELTA, tuple(changes)), *reports]

    def run(self, until: int) -> int:
        """Handles batches until `until` servers were listed; returns the lines that four more batches run."""
        while self.listed_count < until:
            self.brain.handle(self.now, self.next_events())
        return sum(lines_of_a_batch(self.brain, self.now, self.next_events()) for _ in range(4))


def test_twenty_thousand_replacements_increase_neither_memory_nor_work_per_batch():
    fleet = ReplacedFleet()
    early, small = fleet.run(EVER_LISTED // 20), size_of(fleet.brain)
    late, large = fleet.run(EVER_LISTED), size_of(fleet.brain)
    assert (large - small) / (EVER_LISTED - EVER_LISTED // 20) < BYTES_PER_SERVER / 100, (small, large)
    assert late <= early * 1.1, (early, late)
    assert len(fleet.brain.server_ids) <= 2 * FLEET + REPLACED_PER_BATCH


def test_a_reused_slot_holds_no_state_and_gets_no_reports_of_the_former_server():
    fleet = ReplacedFleet()
    brain = fleet.brain
    fleet.run(4 * FLEET)
    former = server_address(0)
    assert former not in brain.slot_of and len(brain.server_ids) < fleet.listed_count
    before = [
        [list(row) for row in brain.solve_sample],
        [list(row) for row in brain.strain_sample],
        list(brain.utilisation),
    ]
    counts = [[len(reports) for reports in zone] for zone in brain.reports]
    brain._handle_heard(face.Heard(12, former, 12, 0.5, 0, None, None))
    assert before == [brain.solve_sample, brain.strain_sample, brain.utilisation]
    assert counts == [[len(reports) for reports in zone] for zone in brain.reports]
    for server_id, i in brain.slot_of.items():
        assert brain.server_ids[i] == server_id  # each slot has one server
    assert len(set(brain.slot_of.values())) == len(brain.slot_of)


def test_a_server_that_returns_soon_keeps_its_factor_and_one_long_gone_is_forgotten():
    world = SimulatedFleet()
    world.run(10, lambda w: [w.report(each, 0.3 if each == server(3) else 0.1) for each in w.states])
    learnt = world.brain.factor[world.brain.slot_of[server(3)]]
    assert learnt < 0.95
    world.list_server(server(3), face.GONE)
    world.run(1)
    world.list_server(server(20), face.READY, world.now)
    world.run(1)
    world.list_server(server(3), face.READY)
    world.run(1)
    assert world.brain.factor[world.brain.slot_of[server(3)]] == pytest.approx(learnt, rel=0.2)
    place = world.brain.slot_of[server(3)]
    world.list_server(server(3), face.GONE)
    for n in range(20, 60):
        world.list_server(server(n), face.READY, world.now)
        world.list_server(server(n), face.GONE)
        world.run(1)
    assert server(3) not in world.brain.slot_of
    assert world.brain.server_ids[place] != server(3)


def test_an_entry_for_an_unknown_server_that_is_gone_allocates_no_slot():
    world = SimulatedFleet()
    known = len(world.brain.server_ids)
    world.list_server(server(77), face.GONE)
    world.run(1)
    assert len(world.brain.server_ids) == known


def test_a_slot_with_a_present_line_is_not_reused():
    """Otherwise the line would pass to the new server, and the line of the former one would never be removed."""
    world = SimulatedFleet()
    for n in range(8):
        world.states[server(n)] = face.GONE, None
        world.states[server(n + 20)] = face.READY, None
    entries = tuple(world.entry(each) for each in sorted(world.states))
    world.events.append(face.Listing(1, face.DELTA, entries))
    world.handle_events()
    world.run(10)
    assert set(world.lines) == {each for each, (state, _) in world.states.items() if state == face.READY}


@pytest.mark.parametrize("seed", range(4))
def test_the_rules_hold_while_slots_are_reused(seed):
    """A reused slot with a present line would leave a line to the former server for ever."""
    world, chance = SimulatedFleet(seed=seed), Random(seed)
    judge, newest = Judge(world), iter(range(20, 256))

    def replace(w: SimulatedFleet) -> None:
        ready = [each for each, (state, _) in w.states.items() if state == face.READY]
        for each in ready:
            w.report(each, 0.1, chance.choice([0, 0, 0, 10]))
        if chance.random() < 0.3:
            n = next(newest, None)
            if n is not None:
                w.list_server(chance.choice(ready), face.GONE)
                w.list_server(server(n), face.READY, w.now - 30)

    world.run(120, replace, judge.check)
    assert len(world.brain.server_ids) < 40
    left = {each for table in world.tables.values() for each in table}
    assert left == {each for each, (state, _) in world.states.items() if state == face.READY}


@pytest.mark.parametrize("seed", range(4))
def test_the_medians_of_a_zone_drop_servers_whose_slots_are_reused(seed):
    random, fleet = Random(seed), ReplacedFleet()
    brain = fleet.brain
    for _ in range(60):
        events = [event for event in fleet.next_events() if not isinstance(event, face.Heard)]
        reports = [
            face.Heard(
                random.randrange(6),
                server_address(random.choice(fleet.alive)),
                12,
                0.5,
                zone,
                random.uniform(0.05, 0.2),
                None,
            )
            for zone in (0, 1)
            for _ in range(30)
        ]
        brain.handle(fleet.now, events + reports)
        for zone in (0, 1):
            views = [view for view in brain.view[zone] if view[0] > fleet.now - VIEW_WINDOW_S]
            assert brain.median_slowness[zone].value() == median([view[1] for view in views])
            assert brain.median_error_share[zone].value() == median([view[2] for view in views])
