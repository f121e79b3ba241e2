"""The work of the module by the size of the fleet, in lines run and not in time; and running medians against medians
computed anew."""

import sys
from bisect import insort
from random import Random

import pytest

from benchmarks.events import batches, make_facts
from driftshed.brain import VIEW_WINDOW_S, Brain
from driftshed.figures import RunningMedian, median

MAX_WORK_RATIO = 1.5  # most by which the work per event may differ between fleet sizes


def lines_run(servers: int, proxies: int) -> float:
    """Lines of the module that run for each event, after the joins; comprehensions count once per iteration."""
    brain, counted, events = Brain(make_facts(proxies), 1, 100.0), [0], 0

    def trace(frame, kind, _):
        if not frame.f_code.co_filename.endswith(("brain.py", "figures.py")):
            return None
        counted[0] += kind in ("line", "call")
        return trace

    for now, batch in batches(servers, proxies, 4.0, 100.0, lambda: brain):
        steady = type(batch[0]).__name__ == "TimerDue"
        sys.settrace(trace if steady else None)
        try:
            brain.handle(now, batch)
        finally:
            sys.settrace(None)
        events += steady * len(batch)
    return counted[0] / events


def test_an_event_costs_the_same_in_a_fleet_of_any_size():
    work = [lines_run(servers, proxies) for servers, proxies in ((26, 37), (118, 349), (400, 1500))]
    assert max(work) <= MAX_WORK_RATIO * min(work), work


@pytest.mark.parametrize("seed", range(20))
def test_a_running_median_is_the_median(seed):
    random, running, present = Random(seed), RunningMedian(), []
    for _ in range(300):
        old = random.choice(present) if present and random.random() < 0.5 else None
        new = random.choice([random.random(), 0.5]) if old is None or random.random() < 0.6 else None
        running.replace(old, new)
        if old is not None:
            present.remove(old)
        if new is not None:
            insort(present, new)
        if present:
            assert running.value() == median(present)


@pytest.mark.parametrize("seed", range(10))
def test_the_running_medians_of_a_zone_equal_the_medians_of_its_recent_views(seed):
    random, brain, now = Random(seed), Brain(make_facts(8), 1, 0.0), 0.0
    servers = 12
    for view in brain.view[0], brain.view[1]:
        view += [(float("-inf"), 0.0, 0.0)] * servers
    for _ in range(400):
        now += random.choice([0.0, 0.1, 0.5, random.choice([0.1, 2 * VIEW_WINDOW_S])])
        brain.now = now
        zone = random.randrange(2)
        brain._record_view(zone, random.randrange(servers), random.choice([1.0, random.random()]), random.random())
        views = [view for view in brain.view[zone] if view[0] > now - VIEW_WINDOW_S]
        assert brain.median_slowness[zone].value() == median([view[1] for view in views])
        assert brain.median_error_share[zone].value() == median([view[2] for view in views])
