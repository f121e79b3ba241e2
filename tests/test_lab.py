"""The laboratory: both clocks, the emulator against queueing theory, arrivals, experiments, and rejected input."""

import json
import math
import os
import signal
import subprocess
import sys
import time
from itertools import pairwise
from random import Random

import numpy as np
import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from driftshed.cli import main
from driftshed.lab.compare import bootstrap, compare
from driftshed.lab.environments import VirtualEnvironment
from driftshed.lab.load import Lag, generate_arrivals
from driftshed.lab.run import run, worst_service
from driftshed.lab.scenario import (
    Crash,
    Deploy,
    Kill,
    Lapse,
    Link,
    Pause,
    Rejoin,
    Scenario,
    ScenarioError,
    Sick,
    StoreDown,
    StorePause,
    Surge,
    Whom,
    check_scenario,
    fault_free_day,
    format_scenario,
    load_scenario,
    parse_scenario,
    random_day,
    shipped_scenarios,
)
from driftshed.lab.search import mutate, same_failure_as, save_day, shrink
from driftshed.lab.simulation import SimulatedDeployment
from driftshed.lab.store import Job, RunRow, RunStore
from driftshed.lab.virtual import Network, Route, Seat, VirtualLoop
from driftshed.standins.emulator import ServerFault, ServerProperties, ServerStandin

# ---- virtual time and network ----------------------------------------------------------------------------------


class EchoNetwork:
    """An echo server and a client on an in-memory network."""

    def __init__(self, seed=1, **route):
        self.loop = VirtualLoop()
        self.route = Route(**{"delay": 0.01, "jitter": 0.0, **route})
        self.network = Network(self.loop, seed, lambda here, there: self.route)
        self.server_seat, self.client_seat = Seat(self.loop, "server"), Seat(self.loop, "client")
        self.received, self.abandoned = [], []
        self.server = self.network.transport("s").server(self.server_seat, ("s", 1), self.handle)
        self.client = self.network.transport("c").client(self.client_seat, ("s", 1))
        self.answers = []

    def handle(self, request):
        self.received.append((self.loop.now, request.path, request.query))
        request.on_gone = lambda: self.abandoned.append(self.loop.now)
        if request.path != "/held":
            request.answer(200, request.body, extra="x-seen: yes\r\n")

    def call(self, path="/a?b=1", body=b"hello", within=5.0):
        done = lambda answer: self.answers.append((round(self.loop.now, 6), answer))  # noqa: E731
        return self.client.call("POST", path, body, done, within)


def test_a_call_takes_a_round_trip_and_a_kept_connection_saves_the_handshake():
    net = EchoNetwork()
    net.call()
    net.loop.run(1.0)
    ((at, answer),) = net.answers
    assert (at, answer.status, answer.body, answer.headers[b"x-seen"]) == (0.04, 200, b"hello", b"yes")
    assert net.received == [(pytest.approx(0.03), "/a", "b=1")] and not answer.reused_connection
    net.call()
    net.loop.run(2.0)
    assert net.answers[1][0] == pytest.approx(1.02) and net.answers[1][1].reused_connection


def test_nobody_listening_refuses_and_a_dead_server_resets():
    net = EchoNetwork()
    net.call("/held")
    net.loop.run(0.5)
    net.network.reset_server(("s", 1))
    net.loop.run(0.6)
    assert (net.answers[0][1].error, net.answers[0][1].sent) == ("reset", True)
    net.call()
    net.loop.run(1.0)
    assert (net.answers[1][1].error, net.answers[1][1].sent) == ("refused", False)


def test_a_cut_route_delivers_nothing_until_the_cut_is_over():
    net = EchoNetwork()
    net.call(within=9.0)
    net.loop.run(0.5)
    net.route.cut = True
    net.call(within=0.4)  # given up during the cut
    net.call("/later", within=9.0)
    net.loop.run(2.0)
    assert net.answers[1][1].error == "late" and len(net.received) == 1
    net.route.cut = False
    net.loop.run(9.0)
    assert net.answers[2][1].status == 200 and "/later" in [path for _, path, _ in net.received]


def test_a_lost_message_comes_later_and_one_stream_keeps_its_order():
    net = EchoNetwork(seed=3, loss=0.5)
    for _ in range(60):
        net.call(within=60.0)
    net.loop.run(60.0)
    times = [at for at, _ in net.answers]
    assert len(times) == 60 and max(times) > 0.4  # some were sent again
    delivered = []
    from driftshed.lab.virtual import Pipe

    pipe = Pipe(net.network, Route(0.01, 0.01, 0.3), net.client_seat)
    for k in range(200):
        pipe.send(lambda k=k: delivered.append(k))
    net.loop.run(120.0)
    assert delivered == list(range(200))


def test_a_client_that_gives_up_is_gone_at_the_server_after_the_delay():
    net = EchoNetwork()
    net.call("/held", within=0.5)
    net.loop.run(1.0)
    assert net.answers[0][1].error == "late" and net.abandoned == [pytest.approx(0.51)]


def test_a_paused_process_gets_its_messages_afterwards_and_an_ended_one_none():
    net, ticks = EchoNetwork(), []
    net.server_seat.after(0.3, lambda: ticks.append(net.loop.now))
    net.server_seat.pause_until(1.0)
    net.call(within=5.0)
    net.loop.run(2.0)
    assert ticks == [1.0] and net.answers[0][0] == pytest.approx(1.01)
    net.server_seat.end()
    net.call(within=0.5)
    net.loop.run(3.0)
    assert net.answers[1][1].status == 0


def test_cancelled_timers_are_not_called_and_do_not_pile_up():
    loop = VirtualLoop()
    seat, called = Seat(loop, "x"), []
    for k in range(20000):
        seat.after(1000.0 + k, lambda: called.append(1)).cancel()
    assert len(loop.timers) < 10000
    loop.run(30000.0)
    assert not called


# ---- emulator against queueing theory --------------------------------------------------------------------------


def sojourn_times(cores, load, spread, seed, count=60000):
    """Time spent at a server without limits, by its answers on the network, in units of the mean work."""
    loop = VirtualLoop()
    network = Network(loop, seed, lambda here, there: Route(0.0, 0.0))
    seat, random = Seat(loop, "all"), Random(seed)
    machine = ServerProperties(cores, 1.0, room=10**6, connections=10**6)
    server = ServerStandin(seat, ("s", 1), machine, seed, transport=network.transport("s"))
    server.start(cold=False)
    client = network.transport("c").client(seat, ("s", 1), max_idle=10**6)
    mean, latencies, sent = 0.1, [], [0]

    def arrive():
        if sent[0] == count:
            return
        sent[0] += 1
        seat.after(random.expovariate(load * cores / mean), arrive)
        work = mean if spread == "fixed" else random.expovariate(1 / mean)
        began = loop.now
        done = lambda answer: latencies.append(loop.now - began)  # noqa: E731
        client.call("POST", f"/do/x?work={work!r}", b"", done, 10**6)

    arrive()
    loop.run(10**7)
    assert len(latencies) == count
    return np.array(latencies[count // 10 :]) / mean


def test_one_exponential_core_matches_m_m_1():
    latencies = sojourn_times(1, 0.6, "exponential", 1)
    assert latencies.mean() == pytest.approx(1 / (1 - 0.6), rel=0.06)
    assert np.quantile(latencies, 0.99) == pytest.approx(math.log(100) / (1 - 0.6), rel=0.09)


def test_several_exponential_cores_match_m_m_c():
    cores, load = 4, 0.7
    a = cores * load
    waits = a**cores / math.factorial(cores) / (1 - load)
    waits /= sum(a**k / math.factorial(k) for k in range(cores)) + waits  # Erlang's C
    latencies = sojourn_times(cores, load, "exponential", 2)
    assert latencies.mean() == pytest.approx(1 + waits / (cores * (1 - load)), rel=0.05)

    # The tail of the sum of service and wait, by convolution.
    rate = cores * (1 - load)

    def beyond(t):
        return math.exp(-t) + waits * (math.exp(-t) - math.exp(-rate * t)) / (rate - 1) if rate != 1 else None

    low, high = 0.0, 50.0
    while high - low > 1e-6:
        low, high = ((low + high) / 2, high) if beyond((low + high) / 2) > 0.01 else (low, (low + high) / 2)
    assert np.quantile(latencies, 0.99) == pytest.approx(low, rel=0.07)


def test_fixed_work_matches_m_d_1():
    latencies = sojourn_times(1, 0.7, "fixed", 3)
    assert latencies.mean() == pytest.approx(1 + 0.7 / (2 * (1 - 0.7)), rel=0.06)

    def beyond(t):  # P(W > t) by Crommelin's sum, t in service times
        whole = math.floor(t)
        inside = sum((-0.7 * (t - k)) ** k / math.factorial(k) * math.exp(0.7 * (t - k)) for k in range(whole + 1))
        return 1 - (1 - 0.7) * inside

    wait = next(t / 100 for t in range(2500) if beyond(t / 100) < 0.01)
    assert np.quantile(latencies, 0.99) == pytest.approx(1 + wait, rel=0.08)


# ---- faults of the emulator ------------------------------------------------------------------------------------


class EmulatedServer:
    """One emulated server and calls to it."""

    def __init__(self, machine=ServerProperties(1, 1.0, room=2), cold=False):
        self.loop = VirtualLoop()
        self.network = Network(self.loop, 1, lambda here, there: Route(0.0, 0.0))
        self.seat = Seat(self.loop, "all")
        self.server = ServerStandin(self.seat, ("s", 1), machine, 1, transport=self.network.transport("s"))
        self.server.start(cold)
        self.client = self.network.transport("c").client(self.seat, ("s", 1), max_idle=1000)
        self.results = []

    def call(self, query="work=0.1", within=10.0, extra="", operation="x"):
        done = lambda answer: self.results.append((round(self.loop.now, 3), answer.status or answer.error))  # noqa: E731
        return self.client.call("POST", f"/do/{operation}?{query}", b"", done, within, extra)

    def after(self, seconds):
        self.loop.run(self.loop.now + seconds)
        return self.results


def test_a_full_queue_rejects_requests():
    bench = EmulatedServer()
    for _ in range(5):
        bench.call()
    assert sorted(status for _, status in bench.after(1.0)) == [200, 200, 200, 503, 503]


def test_faults_overlap_and_each_ends_alone():
    bench = EmulatedServer(ServerProperties(1, 1.0))
    bench.server.add_fault("a", ServerFault(slower=2.0))
    bench.server.add_fault("b", ServerFault(slower=3.0, stolen=0.5))
    bench.call()
    assert bench.after(5.0) == [(1.2, 200)]
    bench.server.remove_fault("b")
    bench.call()
    assert bench.after(5.0)[-1] == (5.2, 200)
    bench.server.remove_fault("a")
    assert bench.server.capacity() == 1.0


def test_a_fault_of_one_operation_leaves_the_others_alone():
    bench = EmulatedServer(ServerProperties(1, 1.0))
    bench.server.add_fault("a", ServerFault(errors=1.0, operation="x"))
    bench.call(operation="x")
    bench.call(operation="y")
    assert [status for _, status in bench.after(1.0)] == [500, 200]


def test_cancelled_work_goes_on_or_is_dropped_by_kind():
    for stops, second in ((False, 1.1), (True, 0.2)):
        bench = EmulatedServer(ServerProperties(1, 1.0, stops_cancelled=stops))
        bench.call("work=1.0", within=0.1)
        bench.after(0.1)
        bench.call("work=0.1")
        assert bench.after(5.0) == [(0.1, "late"), (second, 200)]


def test_time_outs_are_respected_or_ignored_by_kind():
    bench = EmulatedServer(ServerProperties(1, 1.0, heeds_timeouts=True))
    bench.call("work=1.0")
    bench.call("work=0.5", extra="x-timeout: 1.2\r\n")
    assert sorted(bench.after(5.0)) == [(1.0, 200), (1.0, 503)] and bench.server.dropped == 1


def test_recent_keys_are_cheaper_and_marked_work_is_not_repeated():
    bench = EmulatedServer(ServerProperties(1, 1.0, key_share=0.25, marks_for=5.0))
    bench.call("work=0.4&key=a")
    bench.after(1.0)
    bench.call("work=0.4&key=a", extra="idempotency-key: m1\r\n")
    bench.after(1.0)
    bench.call("work=0.4&key=b", extra="idempotency-key: m1\r\n")
    assert bench.after(1.0) == [(0.4, 200), (1.1, 200), (2.0, 200)] and bench.server.served == 2


def test_a_cold_server_warms_up_and_falls_when_pushed():
    machine = ServerProperties(1, 1.0, cold_share=0.25, warm_within=4.0, tip_multiple=2.0, tip_span=1.0)
    bench = EmulatedServer(machine, cold=True)
    assert bench.server.capacity() == pytest.approx(0.25)
    bench.call("work=0.1")
    bench.after(2.0)
    assert bench.results == [(0.4, 200)] and bench.server.capacity() == pytest.approx(0.625)
    for _ in range(20):
        bench.call("work=0.1")
    bench.after(1.0)
    assert bench.server.overload_failures == 1 and not bench.server.up


def test_refused_squeezed_and_hung_connections():
    bench = EmulatedServer(ServerProperties(1, 1.0, connections=2))
    bench.server.add_fault("hang", ServerFault(hangs=True))
    for _ in range(3):
        bench.call("work=0.01", within=20.0)
    bench.after(1.0)
    assert [status for _, status in bench.results] == [503]  # over the connection limit
    bench.server.remove_fault("hang")
    assert sorted(str(status) for _, status in bench.after(1.0)) == ["503", "reset", "reset"]
    bench.server.add_fault("door", ServerFault(refuses=True))
    bench.call()
    assert bench.after(1.0)[-1][1] == "reset"


def test_load_reports_can_be_late_and_noisy():
    bench = EmulatedServer(ServerProperties(1, 1.0, load_lag=1.0))
    bench.call("work=0.5")
    bench.after(0.1)
    assert bench.server._reported_load() == 0  # as of a second ago: none
    bench.after(0.2)
    noisy = EmulatedServer(ServerProperties(1, 1.0, load_noise=0.5, room=100))
    for _ in range(50):
        noisy.call("work=1.0")
    noisy.after(0.01)
    assert len({noisy.server._reported_load() for _ in range(20)}) > 3


# ---- load generator --------------------------------------------------------------------------------------------

OPERATIONS = fault_free_day("tiny").facts.operations


def drawn_arrivals(traffic, surges=(), seconds=90.0, seed=1, rates=(1.0, 3.0)):
    parts = list(generate_arrivals(traffic, OPERATIONS, list(rates), list(surges), seconds, seed))
    return [np.concatenate(column) for column in zip(*parts, strict=True)]


def test_arrivals_are_poisson_and_shares_and_keys_as_asked():
    traffic = fault_free_day("tiny").traffic
    traffic.rate = 400.0
    times, operations, proxies, work, keys, _ = drawn_arrivals(traffic)
    gaps = np.sort(np.diff(times) * traffic.rate)
    ideal = 1 - np.exp(-gaps)
    distance = np.abs(ideal - np.arange(1, len(gaps) + 1) / len(gaps)).max()
    assert distance < 1.63 / math.sqrt(len(gaps))  # Kolmogorov and Smirnov, 1%
    assert (operations == 0).mean() == pytest.approx(0.6, abs=0.015)
    assert proxies.mean() == pytest.approx(0.75, abs=0.015)
    counts = np.bincount(keys)
    assert counts[0] / counts[7] == pytest.approx(8**traffic.zipf, rel=0.25)
    assert work.min() >= 0.03


def test_surges_and_diurnal_days_shape_the_rate():
    traffic = fault_free_day("tiny").traffic
    traffic.rate, traffic.shape, traffic.swing, traffic.period = 300.0, "diurnal", 0.5, 40.0
    times = drawn_arrivals(traffic, [Surge(60.0, 10.0, 3.0)])[0]
    counts = np.histogram(times, [0, 10, 20, 30, 40, 50, 60, 70])[0] / 3000
    half = 0.5 * 2 / math.pi
    assert counts[:4] == pytest.approx([1 + half, 1 + half, 1 - half, 1 - half], abs=0.08)
    assert counts[6] == pytest.approx(3 * (1 - half), rel=0.1)


def test_arrivals_are_the_same_again_and_in_another_process():
    code = (
        "import hashlib; from driftshed.lab.scenario import fault_free_day; "
        "from driftshed.lab.load import generate_arrivals\n"
        "d = fault_free_day('tiny'); h = hashlib.md5()\n"
        "[h.update(c.tobytes()) "
        "for p in generate_arrivals(d.traffic, d.facts.operations, [1.0, 2.0], [], 40.0, 9) for c in p]\n"
        "print(h.hexdigest())"
    )
    output = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(output) == 1


def test_a_trace_of_invocations_is_sent_as_written(tmp_path):
    path = tmp_path / "trace"
    path.write_text("0.5 lookup\n0.25 post\n31 purchase\n")
    traffic = fault_free_day("tiny").traffic
    traffic.trace = str(path)
    times, operations, *_ = drawn_arrivals(traffic)
    assert (times.tolist(), operations.tolist()) == ([0.25, 0.5, 31.0], [2, 0, 1])
    path.write_text("0.5 lookup\n0.6 nothing\n")
    with pytest.raises(ScenarioError, match="line 2"):
        drawn_arrivals(traffic)


def test_a_load_generator_that_lagged_reports_it():
    lag = Lag(0.4)
    for _ in range(1000):
        lag.add(0.001)
    assert lag.kept_up
    for _ in range(30):
        lag.add(0.1)
    assert not lag.kept_up
    once = Lag(0.4)
    for _ in range(1000):
        once.add(0.0)
    once.add(0.5)
    assert not once.kept_up


def test_latency_counts_from_the_intended_send():
    day = fault_free_day("tiny", 4.0)
    environment = VirtualEnvironment(day, 1)
    deployment = SimulatedDeployment(day, 1, environment)
    deployment.open()
    rows = []
    deployment.load.on_result = lambda *row: rows.append(row)
    environment.loop.pause_until(2.0)  # the generator itself is paused: coordinated omission would hide it
    environment.virtual_loop.run(day.seconds + 2.5)
    early = [latency for intended, _, latency, _ in rows if intended < 1.0 and latency is not None]
    assert early and min(early) > 1.0 and not deployment.load.lag.kept_up


# ---- whole days ------------------------------------------------------------------------------------------------

SMALL = """
about = "a small deploy with a hang"
seconds = 10
operations = [
    "lookup:objective=0.5,timeout=1.5,value=1,late=0.2,effect=idempotent",
    "purchase:objective=0.4,timeout=0.9,value=5,late=0.2,effect=fingerprinted,window=0.75",
]
[flags]
zones = "east,west"
proxies = 4
warm-within = 3
drain-grace = 2.5
[fleet]
servers = 8
[traffic]
rate = 60
shares = [6, 2]
work = [[0.04, 0.08], [0.05, 0.1]]
[[troubles]]
type = "deploy"
at = 1
every = 1.5
drain = 3
whom = {count = 3}
[[troubles]]
type = "sick"
how = "hang"
at = 2
lasts = 6
"""


def test_a_small_day_goes_alike_on_both_clocks():
    day = parse_scenario(SMALL, "small")
    virtual = run(day, 3)
    for _ in range(2):
        real = run(day, 3, "real")
        if real.counts:  # a busy machine can hold up the generator: such a run is repeated once
            break
    assert virtual.rules_kept and real.rules_kept, (virtual.breaks, real.breaks)
    assert {r: row["checked"] > 0 for r, row in virtual.rules.items()} == {
        r: row["checked"] > 0 for r, row in real.rules.items()
    }
    # The same invocations, by the time at which each was due: the time of sending depends on the machine (one due 2 ms
    # before the end of the day was sent after it on a busy machine).
    assert [due for _, due in virtual.over_time] == [due for _, due in real.over_time]
    assert abs(virtual.service - real.service) < 0.03
    # The same servers were withdrawn, and the same addresses received work.
    assert {text.split()[1].rstrip(",")[4:] for text in virtual.decided} == {
        text.split()[1].rstrip(",")[4:] for text in real.decided
    }
    ends = lambda outcome: {server.partition(".")[2].partition(".")[2] for server in outcome.carried}  # noqa: E731
    assert ends(virtual) == ends(real)


def test_a_day_is_the_same_bit_for_bit_in_any_process_and_another_with_another_seed():
    code = (
        "from driftshed.lab.scenario import random_day; from driftshed.lab.run import run\n"
        "print([run(random_day(4, 'tiny', 10.0), seed).digest for seed in (1, 2)])"
    )
    output = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "77")
    }
    assert len(output) == 1
    first, second = json.loads(output.pop().replace("'", '"'))
    assert first != second


@pytest.mark.parametrize("seed", range(12))
def test_drawn_days_keep_the_rules(seed):
    outcome = run(random_day(100 + seed, "tiny", 16.0), seed)
    assert outcome.rules_kept, (outcome.breaks, outcome.faults, outcome.bands)
    assert 0.0 < outcome.service <= outcome.bound + 0.02


@pytest.mark.parametrize("name", sorted(shipped_scenarios()))
def test_shipped_scenarios_read_back_unchanged(name):
    day = load_scenario(name)
    assert format_scenario(parse_scenario(format_scenario(day), name)) == format_scenario(day)


def test_a_day_on_which_nothing_is_asked():
    day = load_scenario("silent")
    outcome = run(day, 1)
    assert outcome.rules_kept and outcome.asked == 0 and outcome.service == 1.0 and outcome.counts
    assert outcome.rules["drains"]["checked"]


def test_349_proxies_joining_at_once_and_again_keep_the_channel_within_its_cap():
    """Found in the lab: the channel was charged one line for each operation of a proxy that was put on a table,
    while the module counted one line in all."""
    day = fault_free_day("full", 6.0)
    day.traffic.rate = 50.0
    day.troubles = [Rejoin(3.0, 1.0)]
    outcome = run(check_scenario(day), 1)
    assert outcome.rules_kept, outcome.breaks
    assert 0.45 < outcome.margins["queue"] <= 0.51  # joins fill half of it, and leave the rest to drains


def test_the_module_runs_once_a_tick_however_many_messages_leave():
    """Found in the lab: the module ran again for each message that left the channel."""
    day = fault_free_day("small", 5.0)
    environment = VirtualEnvironment(day, 1)
    SimulatedDeployment(day, 1, environment).open()
    brain, batches = environment.service.instance.brain, []
    handle = brain.handle
    brain.handle = lambda now, events: (batches.append((now, events)), handle(now, events))[1]
    environment.virtual_loop.run(day.seconds)
    tick = day.facts.tick
    untimed = [now for now, events in batches if not any(type(event).__name__ == "TimerDue" for event in events)]
    assert len(untimed) > 20 and min(b - a for a, b in pairwise(untimed)) >= tick - 1e-9


def test_the_judge_goes_by_the_traffic_and_sees_a_broken_rule():
    """With a policy that never removes a drained server from a table."""
    day = parse_scenario(SMALL, "small")
    day.troubles = day.troubles[:1]
    day.troubles[0].drain = 6.0
    from driftshed.lab import baselines, run as lab_run  # noqa: I001

    class Stuck(baselines.AllToAll):
        def _apply_listing(self, listing):
            return [order for order in super()._apply_listing(listing) if order.weight]

    lab_run.POLICIES["stuck"] = baselines.Policy(Stuck, None, "keeps what has gone")
    try:
        outcome = run(day, 1, policy="stuck")
    finally:
        del lab_run.POLICIES["stuck"]
    assert outcome.rules["drains"]["broken"] and outcome.margins["drains"] > 1


def test_lost_links_a_killed_supervisor_and_one_sided_cuts_are_survived():
    day = fault_free_day("tiny", 20.0)
    day.troubles = [
        Kill(3.0, 2.0),
        Link(6.0, 4.0, "east", "west", cut=True, both=False),
        Link(8.0, 3.0, "control", "", 0.1, 0.2),
        Crash(12.0, Whom(share=0.3), 2.0),
        Sick(10.0, 5.0, "lost-answers", 0.5),
        Deploy(5.0, Whom(count=3), 1.0),
    ]
    outcome = run(check_scenario(day), 2)
    assert outcome.rules_kept, outcome.breaks
    assert outcome.over_time[-1][0] > 0.8 * outcome.over_time[-1][1]  # recovered at the end


def store_day(size: str, seconds: float):
    day = fault_free_day(size, seconds)
    day.fleet.store = True
    day.troubles = [
        Deploy(2.0, Whom(share=0.4), 1.5),
        Lapse(4.0, Whom(share=0.2)),
        StorePause(7.0, 2.5),
        StoreDown(11.0, 1.5),
        Link(14.0, 3.0, "control", "roster", cut=True),
        Lapse(19.0, Whom(share=1.0), 1.0),
        Kill(22.0, 1.5),
    ]
    return check_scenario(day)


def test_a_day_with_a_store_keeps_the_rules_in_virtual_time_and_repeats():
    first, second = (run(store_day("tiny", 25.0), 3) for _ in range(2))
    assert first.rules_kept, (first.breaks, first.faults)
    assert first.rules["bare"]["checked"] and first.rules["drains"]["checked"] and first.service > 0.7
    assert first.digest == second.digest


def test_the_judge_of_a_store_sees_a_supervisor_that_ignores_it(monkeypatch):
    """With a supervisor that keeps draining servers listed as ready."""
    from driftshed.roster.membership import Membership

    original = Membership._entry
    monkeypatch.setattr(Membership, "_entry", staticmethod(lambda node: original(node._replace(state="ready"))))
    day = store_day("tiny", 25.0)
    day.troubles, day.seconds = [Deploy(2.0, Whom(share=0.4), 1.5, drain=6.0)], 12.0
    assert run(day, 3).rules["drains"]["broken"]


def test_the_worst_ten_seconds_are_found():
    rows = [(1.0, 1.0)] * 20 + [(0.0, 1.0)] * 5 + [(1.0, 1.0)] * 20
    assert worst_service(rows) == 0.5 and worst_service([(0.0, 0.0)] * 30) == 1.0


# ---- experiments -----------------------------------------------------------------------------------------------


def run_row(number, variant, seed, service, counts=1, state="done"):
    return RunRow(number, "x", "s", variant, "virtual", seed, state, "", service, service, 1.0, 0, counts, 1.0)


def test_noise_is_not_reported_as_a_gain_and_a_gain_is():
    random, rows, noise = Random(1), [], []
    for seed in range(40):
        base = random.uniform(0.5, 0.9)
        rows += [run_row(1, "a", seed, base), run_row(2, "b", seed, base + 0.01 + random.gauss(0, 0.01))]
        noise += [run_row(1, "a", seed, base), run_row(2, "b", seed, base + random.gauss(0, 0.05))]
    assert compare(rows, "a", "b")[0][0].verdict == "more"
    assert compare(noise, "a", "b")[0][0].verdict.startswith("no significant difference")
    assert compare(rows[:6], "a", "b")[0][0].verdict.startswith("too few pairs")


def test_runs_that_do_not_count_are_left_out():
    rows = [
        run_row(1, "a", 1, 0.5),
        run_row(2, "b", 1, 0.9, counts=0),
        run_row(3, "a", 2, 0.5),
        run_row(4, "b", 2, 0.5),
        run_row(5, "a", 3, 0.5),
        run_row(6, "b", 3, None, state="failed"),
    ]
    found, left_out = compare(rows, "a", "b")
    assert (found[0].pairs, found[0].difference, left_out) == (1, 0.0, 2)


def test_the_bootstrap_covers_the_mean_as_often_as_stated():
    rng = np.random.default_rng(5)
    inside = 0
    for k in range(150):
        low, high = bootstrap(rng.normal(0.0, 1.0, 30), seed=k)
        inside += low <= 0.0 <= high
    assert 0.86 <= inside / 150 <= 0.99


def test_an_experiment_killed_halfway_resumes(tmp_path):
    path = tmp_path / "small.toml"
    path.write_text(format_scenario(fault_free_day("tiny", 6.0)))
    store = tmp_path / "lab.sqlite"
    command = [
        sys.executable,
        "-m",
        "driftshed.cli",
        "lab",
        "run",
        str(path),
        "--seeds",
        "1-6",
        "--store",
        str(store),
        "--jobs",
        "1",
        "--json",
        "--variant",
        "a",
        "--variant",
        "b:policy=two-drawn",
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, start_new_session=True)
    process.stdout.readline()  # one run is done
    os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    process.stdout.close()
    before = [each.id for each in RunStore(store).rows() if each.state == "done"]
    assert 1 <= len(before) < 12
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    rows = RunStore(store).rows()
    assert len(rows) == 12 and all(each.state == "done" for each in rows)
    assert len(done.stdout.splitlines()) == 12 - len(before)
    output = CliRunner().invoke(main, ["lab", "compare", "a", "b", "--store", str(store)])
    assert output.exit_code == 0 and "6 days" in output.output


def test_a_stored_run_can_be_repeated(tmp_path):
    day = format_scenario(random_day(3, "tiny", 6.0))
    store = RunStore(tmp_path / "x.sqlite")
    store.add_jobs([Job("l", "s", day, "v", "driftshed", {"pick": "two"}, "", "virtual", 5)])
    from driftshed.lab.experiment import run_job, run_pending

    assert run_pending(store, "l", 1) == 0
    (stored,) = store.rows()
    (repeated,) = [Job("l", "s", day, "v", "driftshed", {"pick": "two"}, "", "virtual", 5)]
    assert store.outcome(stored.id).digest == run_job(repeated).digest
    assert not store.pending_jobs("l")


def test_a_report_is_one_page_with_its_pictures(tmp_path):
    from driftshed.lab.report import write_report

    outcomes = [(name, run(random_day(seed, "tiny", 12.0), seed)) for name, seed in (("one", 5), ("two <b>", 6))]
    write_report(outcomes, tmp_path / "lab.html", tmp_path / "pictures")
    page = (tmp_path / "lab.html").read_text()
    assert page.count("data:image/png") == 4 and "<b>" not in page.replace("two &lt;b&gt;", "")
    assert 'src="http' not in page
    for name in ("service", "latency", "servers", "rules"):
        assert (tmp_path / "pictures" / f"{name}.png").read_bytes().startswith(b"\x89PNG")


# ---- adversarial search ----------------------------------------------------------------------------------------


def test_a_failing_day_shrinks_to_what_makes_it_fail():
    day = fault_free_day("tiny", 60.0)
    cause = [Kill(20.0, 1.0), Sick(10.0, 5.0, "slow")]
    day.troubles = [Crash(5.0), cause[1], Surge(15.0, 5.0, 2.0), cause[0], Rejoin(30.0)]
    fails = lambda candidate: {t.at for t in candidate.troubles} >= {10.0, 20.0} and candidate.seconds >= 24.0  # noqa: E731
    small = shrink(day, fails)
    assert [type(t) for t in small.troubles] == [Sick, Kill] and 24.0 <= small.seconds <= 25.0


def test_mutated_days_stay_valid_and_a_saved_day_replays(tmp_path):
    random, day = Random(2), random_day(8, "tiny", 8.0)
    for _ in range(60):
        day = mutate(random, day)
    from driftshed.lab.search import EvaluatedDay

    outcome = run(day, 4)
    path = save_day(EvaluatedDay(1.0, day, 4, outcome), tmp_path)
    again = load_scenario(str(path))
    assert run(again, again.seed).digest == outcome.digest
    assert same_failure_as(outcome)(outcome)


def test_a_search_without_findings_reports_it(tmp_path):
    output = CliRunner().invoke(
        main,
        [
            "lab",
            "hunt",
            "--size",
            "tiny",
            "--seconds",
            "6",
            "--rounds",
            "1",
            "--width",
            "2",
            "--gap",
            "1",
            "--jobs",
            "2",
            "--out",
            str(tmp_path / "found"),
        ],
    )
    assert output.exit_code == 0 and "nothing was found" in output.output


# ---- rejected input --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "replacement"),
    [
        ("rate = 60", "rate = -1"),
        ("shares = [6, 2]", "shares = [6]"),
        ("shares = [6, 2]", "shares = [0, 0]"),
        ('how = "hang"', 'how = "nap"'),
        ("at = 2", "at = 2000"),
        ("servers = 8", "servers = 0"),
        ("proxies = 4", "proxis = 4"),
        ("count = 3", 'zone = "south"'),
        ("[traffic]", "[traffic"),
    ],
)
def test_a_bad_scenario_is_reported_plainly(tmp_path, change, replacement):
    path = tmp_path / "bad.toml"
    path.write_text(SMALL.replace(change, replacement))
    outcome = CliRunner().invoke(main, ["lab", "run", str(path), "--store", str(tmp_path / "s")])
    assert outcome.exit_code == 2 and "Traceback" not in outcome.output and not (tmp_path / "s").exists()


def test_bad_arguments_are_reported_plainly(tmp_path):
    small, store = tmp_path / "small.toml", str(tmp_path / "s")
    small.write_text(SMALL)
    RunStore(tmp_path / "s").close()
    for arguments in (
        ["run"],
        ["run", "nowhere"],
        ["run", str(small), "--seeds", "x"],
        ["run", str(small), "--variant", "a:policy=no"],
        ["run", str(small), "--variant", "a:nonsense"],
        ["run", str(small), "--variant", "a:warm-within=-3"],
        ["run", str(small), "--clock", "real", "--variant", "a:policy=two-drawn"],
        ["report", "--run", "99"],
        ["compare", "a", "b"],
        ["run", str(small), "--variant", "a:build=/nowhere"],
        ["load", str(small), "--proxy", "10.0.0.1:80"],
    ):
        more = [] if arguments[0] == "load" else ["--store", store]
        output = CliRunner().invoke(main, ["lab", *arguments, *more])
        assert output.exit_code == 2 and "Error" in output.output, arguments
    with pytest.raises(ScenarioError, match="with real processes"):
        day = parse_scenario(SMALL, "small")
        day.troubles = [Link(1.0, 1.0, "east", "west", loss=0.1)]
        run(day, 1, "real")


def test_the_load_generator_against_a_running_proxy(tmp_path):
    """The generator by itself, on real sockets, against an emulated server behind a real proxy."""
    day = tmp_path / "day.toml"
    day.write_text(SMALL.replace("seconds = 10", "seconds = 3").partition("[[troubles]]")[0])
    from driftshed.net.loop import Loop

    loop = Loop()
    server = ServerStandin(loop, ("127.0.0.1", 0), ServerProperties(8, 1.0, room=1000), 1)
    server.start(cold=False)
    flags = [part for text in parse_scenario(SMALL, "x").operations for part in ("--operation", text)]
    name = f"127.0.0.1:{server.http.address[1]}"
    proxy = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "driftshed.cli",
            "proxy",
            "--listen",
            "127.0.0.1:0",
            "--number",
            "0",
            "--zone",
            "east",
            "--supervisor",
            "127.0.0.1:9",
            "--standing",
            name,
            *flags,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        address = proxy.stdout.readline().decode().split()[1]
        generator = subprocess.Popen(
            [sys.executable, "-m", "driftshed.cli", "lab", "load", str(day), "--proxy", address],
            stdout=subprocess.PIPE,
            text=True,
        )
        deadline = time.monotonic() + 60
        while generator.poll() is None and time.monotonic() < deadline:
            loop.run(loop.clock() + 0.05)
        output = generator.communicate()[0]
        assert "sent, 0 not answered" in output and "lookup" in output, output
        assert server.served > 50
    finally:
        proxy.terminate()
        proxy.wait(10)
        proxy.stdout.close()
        server.stop()
        loop.close()


def supervisors_day(seconds: float) -> Scenario:
    """Three supervisors in virtual time, under every fault that may hit them."""
    day = fault_free_day("small", seconds)
    day.fleet = replace(day.fleet, store=True, supervisors=3)
    day.troubles = [
        Kill(4.0, 3.0, 0),
        Pause(9.0, 4.0, "supervisor", 1.0, 1),
        Deploy(5.0, Whom(share=0.3), 2.0, 2),
        Link(14.0, 4.0, "control2", "roster", cut=True, both=False),
        Link(19.0, 4.0, "control", "", cut=True),
    ]
    return check_scenario(day)


def test_several_supervisors_share_a_day_in_virtual_time_bit_for_bit():
    one, two = run(supervisors_day(26.0), 1), run(supervisors_day(26.0), 1)
    assert one.digest == two.digest != run(supervisors_day(26.0), 2).digest
    assert one.rules_kept, one.breaks
    assert one.rules["owners"]["checked"] > 60 and one.service > 0.9  # proxies changed hands more than once
    with pytest.raises(ScenarioError, match="counted from 0"):
        day = supervisors_day(26.0)
        check_scenario(replace(day, troubles=[Kill(4.0, 3.0, 3)]))
    with pytest.raises(ScenarioError, match="fleet.store = true"):
        check_scenario(replace(day, fleet=replace(day.fleet, store=False), troubles=[]))
