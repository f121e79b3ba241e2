"""The module forgets servers that are gone: its memory and its work a turn go by those that are there."""

import gc
import sys
from collections import deque
from random import Random
from types import FunctionType, ModuleType

import pytest

from benchmarks.events import make_facts, name
from driftshed import interface as face
from driftshed.brain import VIEW_WINDOW_S, Brain
from driftshed.figures import median
from tests.helpers import World, server
from tests.test_rules import Judge

FLEET, A_TURN, EVER = 40, 10, 20_000
BYTES_EACH = 600  # of growth, for each server ever listed


def size_of(brain: Brain) -> int:
    """Bytes of all that an instance alone holds on to."""
    seen, queue, total = {id(brain)}, [brain], 0
    while queue:
        thing = queue.pop()
        total += sys.getsizeof(thing)
        for held in gc.get_referents(thing):
            if id(held) not in seen and not isinstance(held, type | FunctionType | ModuleType):
                seen.add(id(held))
                queue.append(held)
    return total


def lines_of_a_turn(brain: Brain, now: float, events: list) -> int:
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


class Replacing:
    """A fleet whose oldest servers are replaced, turn by turn; each new one and each that left is reported."""

    def __init__(self) -> None:
        self.brain, self.now = Brain(make_facts(8), 1, 0.0), 0.0
        self.alive, self.listed = deque(range(FLEET)), FLEET
        entries = tuple(self.entry(n, started=None) for n in self.alive)
        joins = [face.Joined(p % 2, True, p, 3.0) for p in range(8)]
        self.brain.handle(self.now, [face.Listing(1, face.CACHED, entries), *joins])

    def entry(self, n: int, state: int = face.READY, started: float | None = None) -> face.Entry:
        return face.Entry(name(n), n % 2, n // 2 % 2, started, 0, state, 1.0)

    def news(self) -> list:
        self.now += 0.5
        gone = [self.alive.popleft() for _ in range(A_TURN)]
        new = list(range(self.listed, self.listed + A_TURN))
        self.listed += A_TURN
        self.alive.extend(new)
        changes = [self.entry(n, face.GONE) for n in gone] + [self.entry(n, started=self.now - 1) for n in new]
        answers = [face.Applied(mark, proxy, 0.1) for proxy, mark in self.brain.unanswered.items()]
        reports = [face.Heard(0, name(n), 12, 0.5, zone, 0.1, None) for n in gone + new for zone in (0, 1)]
        return [face.TimerDue(0), *answers, face.Listing(2, face.DELTA, tuple(changes)), *reports]

    def run(self, until: int) -> int:
        """Turns until so many servers were ever listed, and the lines that four more turns run."""
        while self.listed < until:
            self.brain.handle(self.now, self.news())
        return sum(lines_of_a_turn(self.brain, self.now, self.news()) for _ in range(4))


def test_twenty_thousand_replacements_leave_memory_and_work_a_turn_as_they_were():
    fleet = Replacing()
    early, small = fleet.run(EVER // 20), size_of(fleet.brain)
    late, large = fleet.run(EVER), size_of(fleet.brain)
    assert (large - small) / (EVER - EVER // 20) < BYTES_EACH / 100, (small, large)
    assert late <= early * 1.1, (early, late)
    assert len(fleet.brain.ids) <= 2 * FLEET + A_TURN


def test_a_place_taken_again_holds_nothing_of_the_former_server_and_hears_nothing_of_it():
    fleet = Replacing()
    brain = fleet.brain
    fleet.run(4 * FLEET)
    former = name(0)
    assert former not in brain.place and len(brain.ids) < fleet.listed
    before = [
        [list(row) for row in brain.solve_sample],
        [list(row) for row in brain.strain_sample],
        list(brain.utilisation),
    ]
    counts = [[len(reports) for reports in zone] for zone in brain.reports]
    brain._hear_heard(face.Heard(12, former, 12, 0.5, 0, None, None))
    assert before == [brain.solve_sample, brain.strain_sample, brain.utilisation]
    assert counts == [[len(reports) for reports in zone] for zone in brain.reports]
    for server_id, i in brain.place.items():
        assert brain.ids[i] == server_id  # nobody shares a place
    assert len(set(brain.place.values())) == len(brain.place)


def test_one_that_comes_back_soon_is_remembered_and_one_long_gone_begins_anew():
    world = World()
    world.run(10, lambda w: [w.hear(each, 0.3 if each == server(3) else 0.1) for each in w.states])
    learnt = world.brain.factor[world.brain.place[server(3)]]
    assert learnt < 0.95
    world.list(server(3), face.GONE)
    world.run(1)
    world.list(server(20), face.READY, world.now)
    world.run(1)
    world.list(server(3), face.READY)
    world.run(1)
    assert world.brain.factor[world.brain.place[server(3)]] == pytest.approx(learnt, rel=0.2)
    place = world.brain.place[server(3)]
    world.list(server(3), face.GONE)
    for n in range(20, 60):
        world.list(server(n), face.READY, world.now)
        world.list(server(n), face.GONE)
        world.run(1)
    assert server(3) not in world.brain.place
    assert world.brain.ids[place] != server(3)


def test_news_that_an_unknown_server_is_gone_takes_no_place():
    world = World()
    known = len(world.brain.ids)
    world.list(server(77), face.GONE)
    world.run(1)
    assert len(world.brain.ids) == known


def test_a_place_whose_line_still_stands_is_not_taken():
    """Else the line would pass to the new server, and nobody would ever take the former's away."""
    world = World()
    for n in range(8):
        world.states[server(n)] = face.GONE, None
        world.states[server(n + 20)] = face.READY, None
    told = tuple(world.entry(each) for each in sorted(world.states))
    world.news.append(face.Listing(1, face.DELTA, told))
    world.turn()
    world.run(10)
    assert set(world.table) == {each for each, (state, _) in world.states.items() if state == face.READY}


@pytest.mark.parametrize("seed", range(4))
def test_the_rules_hold_while_places_are_taken_again(seed):
    """One that took a place whose line still stands would leave a line to the former server for ever."""
    world, chance = World(seed=seed), Random(seed)
    judge, newest = Judge(world), iter(range(20, 256))

    def replace(w: World) -> None:
        up = [each for each, (state, _) in w.states.items() if state == face.READY]
        for each in up:
            w.hear(each, 0.1, chance.choice([0, 0, 0, 10]))
        if chance.random() < 0.3:
            n = next(newest, None)
            if n is not None:
                w.list(chance.choice(up), face.GONE)
                w.list(server(n), face.READY, w.now - 30)

    world.run(120, replace, judge.look)
    assert len(world.brain.ids) < 40
    left = {each for table in world.tables.values() for each in table}
    assert left == {each for each, (state, _) in world.states.items() if state == face.READY}


@pytest.mark.parametrize("seed", range(4))
def test_what_a_zone_usually_meets_forgets_those_whose_places_are_taken(seed):
    random, fleet = Random(seed), Replacing()
    brain = fleet.brain
    for _ in range(60):
        events = [event for event in fleet.news() if not isinstance(event, face.Heard)]
        reports = [
            face.Heard(
                random.randrange(6), name(random.choice(fleet.alive)), 12, 0.5, zone, random.uniform(0.05, 0.2), None
            )
            for zone in (0, 1)
            for _ in range(30)
        ]
        brain.handle(fleet.now, events + reports)
        for zone in (0, 1):
            views = [view for view in brain.view[zone] if view[0] > fleet.now - VIEW_WINDOW_S]
            assert brain.median_slowness[zone].value() == median([view[1] for view in views])
            assert brain.median_error_share[zone].value() == median([view[2] for view in views])
