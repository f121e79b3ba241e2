"""A fleet of processes (store, supervisors, proxies) with network faults on all connections between them."""

import json
import signal
import subprocess
import sys

import pytest

from driftshed.day.fault_relay import BACK, FORTH
from driftshed.day.fleet import FleetHarness

TIMEOUT = 1.5


@pytest.fixture
def harness(tmp_path):
    harness = FleetHarness(tmp_path, supervisors=3, proxies=6, timeout=TIMEOUT)
    try:
        harness.open()
        wait_until_all_joined(harness)
        yield harness
    finally:
        harness.close()


def wait_until_all_joined(harness) -> None:
    living = dict.fromkeys(harness.names, "living")
    harness.until(lambda: all(harness.states(name) == living for name in harness.names))
    harness.until(lambda: joined_proxies(harness) == set(range(len(harness.proxies))))


def joined_proxies(harness, names=None) -> set[int]:
    return set().union(*(harness.joined(name) for name in names or harness.names))


def test_a_killed_supervisor_is_known_and_its_proxies_go_to_the_living(harness):
    lost = harness.joined("s0")
    assert lost
    harness.supervisors["s0"].kill()
    assert harness.until(lambda: joined_proxies(harness, ("s1", "s2")) == set(range(6)), 20) < 8
    harness.until(lambda: harness.states("s1")["s0"] == "silent" and harness.states("s2")["s0"] == "silent", 20)
    moved = {name: harness.joined(name) & lost for name in ("s1", "s2")}
    harness.supervisors["s0"].start()  # it comes back and takes over no proxy
    harness.supervisors["s0"].await_listening()
    wait_until_all_joined(harness)
    assert harness.get("s0", "fleet")["incarnation"] == 2
    assert all(harness.joined(name) >= gone for name, gone in moved.items()) and not harness.joined("s0")


def test_one_that_is_stopped_longer_than_its_lease_is_left_and_joins_again(harness):
    harness.supervisors["s1"].signal(signal.SIGSTOP)
    harness.until(lambda: joined_proxies(harness, ("s0", "s2")) == set(range(6)), 20)
    harness.until(lambda: harness.states("s0")["s1"] == "silent", 20)
    harness.supervisors["s1"].signal(signal.SIGCONT)
    wait_until_all_joined(harness)
    assert harness.get("s1", "fleet")["lease"] is not None


@pytest.mark.parametrize("forth, back", [(True, True), (True, False), (False, True)])
def test_one_cut_off_from_the_store_loses_its_lease_and_keeps_its_proxies(harness, forth, back):
    own_proxies = harness.joined("s2")
    harness.run_on_loop(lambda: harness.to_store["s2"].block(forth, back))
    harness.until(lambda: harness.get("s2", "fleet")["lease"] is None, 20)
    harness.until(lambda: harness.states("s0")["s2"] == "silent", 20)
    assert harness.joined("s2") == own_proxies
    harness.run_on_loop(harness.to_store["s2"].unblock)
    wait_until_all_joined(harness)
    harness.until(lambda: harness.get("s2", "fleet")["lease"] is not None, 20)


def test_one_cut_off_from_its_proxies_is_left_by_them_and_still_lives(harness):
    harness.run_on_loop(harness.to_proxies["s0"].block)
    harness.until(lambda: joined_proxies(harness, ("s1", "s2")) == set(range(6)), 20)
    assert harness.states("s1")["s0"] == "living"
    harness.run_on_loop(harness.to_proxies["s0"].unblock)


@pytest.mark.parametrize("way", [FORTH, BACK])
def test_requests_and_answers_that_are_lost_on_the_way_to_the_store_change_nothing(harness, way):
    for name in harness.names:
        harness.to_store[name].drop_next[way] = 3
    harness.until(lambda: all(len(each.dropped) == 3 for each in harness.to_store.values()), 20)
    wait_until_all_joined(harness)
    assert all(harness.get(name, "fleet")["incarnation"] == 1 for name in harness.names)


def test_a_store_that_is_killed_and_comes_back_changes_nobody(harness):
    before = {name: harness.joined(name) for name in harness.names}
    harness.store.kill()
    harness.until(lambda: all(harness.get(name, "fleet")["lease"] is None for name in harness.names), 20)
    assert {name: harness.joined(name) for name in harness.names} == before
    harness.store.start()
    harness.store.await_listening()
    wait_until_all_joined(harness)
    harness.until(lambda: all(harness.get(name, "fleet")["lease"] is not None for name in harness.names), 20)
    assert {name: harness.joined(name) for name in harness.names} == before


def test_a_second_process_of_a_name_fences_the_first_which_says_so(harness):
    first = harness.supervisors["s0"]
    command = list(first.command)
    command[command.index("--listen") + 1] = command[command.index("--listen") + 1].replace(":7000", ":7001")
    second = type(first)(command, first.log_path.with_name("second.log"))
    second.start()
    try:
        second.await_listening()
        harness.until(lambda: any(line["event"] == "fenced" for line in first.events()), 20)
        harness.until(lambda: harness.get("s0", "fleet")["standing"].startswith("fenced"), 20)
        assert harness.get("s0", "fleet")["lease"] is None
        harness.until(lambda: harness.states("s1")["s0"] == "living", 20)
    finally:
        second.terminate()


def test_a_stop_in_peace_hands_its_proxies_over(harness):
    own_proxies = harness.joined("s1")
    assert own_proxies
    harness.supervisors["s1"].signal(signal.SIGTERM)
    assert harness.until(lambda: joined_proxies(harness, ("s0", "s2")) == set(range(6)), 20) < 3
    # It exits once the last proxy has left, shortly after that one has joined another.
    assert harness.supervisors["s1"].process.wait(20) == 0
    harness.until(lambda: harness.states("s0")["s1"] == "silent", 20)
    assert harness.states("s0")["s1"] == "silent"


def test_zones_by_hand_from_any_supervisor(tmp_path):
    def zone(*words, at="s0"):
        host, port = harness.addresses[at]
        command = [sys.executable, "-m", "driftshed.cli", "zone", *words, "--supervisor", f"{host}:{port}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)

    harness = FleetHarness(tmp_path, 2, 2, TIMEOUT, more=("--leave-zones", "--zone-limits", "ceiling=1,pace=0.3"))
    try:
        harness.open()
        wait_until_all_joined(harness)
        rows = json.loads(zone("status", "--json").stdout)
        assert [(row["zone"], row["share"], row["stage"]) for row in rows][0] == ("east", 0.0, None)
        refused = zone("leave", "nowhere")
        assert refused.returncode == 1 and "is none of east" in refused.stderr
        assert "nothing of east is left" in zone("return", "east").stderr
        dry = zone("leave", "east", "--dry-run")
        assert dry.returncode == 0 and dry.stdout.startswith("would be: east left, 100%")
        assert zone("leave", "east", "--for", "600").returncode == 0
        for name in harness.names:  # committed, and read by each; the only server stays in use
            harness.until(lambda name=name: json.loads(zone("status", "--json", at=name).stdout)[0]["share"] == 1.0)
        row = json.loads(zone("status", "--json", at="s1").stdout)[0]["stage"]
        assert row["phase"] == "left" and row["by"] and "100%" in zone("status").stdout
        assert harness.joined("s0") | harness.joined("s1") == {0, 1}
        assert zone("return", "east", at="s1").returncode == 0
        harness.until(lambda: json.loads(zone("status", "--json").stdout)[0]["share"] < 1.0)
        harness.supervisors["s1"].kill()
        assert zone("status", at="s1").returncode == 3
    finally:
        harness.close()


def test_the_command_shows_the_fleet_from_a_supervisor_and_from_the_store(harness):
    def fleet(*flags):
        return subprocess.run(
            [sys.executable, "-m", "driftshed.cli", "fleet", *flags], capture_output=True, text=True, timeout=30
        )

    host, port = harness.addresses["s0"]
    from_one, store = f"{host}:{port}", ":".join(map(str, harness.store_address))
    shown = fleet("--supervisor", from_one)
    assert shown.returncode == 0 and "s2" in shown.stdout and "living" in shown.stdout
    views = [
        json.loads(fleet(*flags, "--json").stdout) for flags in (("--supervisor", from_one), ("--fleet-connect", store))
    ]
    assert [[(row["name"], row["state"]) for row in view["members"]] for view in views] == [
        [(name, "living") for name in harness.names]
    ] * 2
    harness.supervisors["s2"].kill()
    harness.until(lambda: harness.states("s0")["s2"] == "silent", 20)
    assert fleet("--supervisor", from_one).returncode == 1
    assert fleet("--fleet-connect", store, "--expected", "s0,s1,s2").returncode == 1
    nobody = fleet("--supervisor", f"{host}:7999", "--within", "0.5")
    assert nobody.returncode == 3 and "ask another one" in nobody.stderr
    assert fleet().returncode == 2


def test_a_supervisor_in_no_fleet_says_so_and_bad_flags_name_the_remedy():
    run = [sys.executable, "-m", "driftshed.cli", "supervise", "--operation", "look:objective=1,timeout=2,value=1"]
    alone = subprocess.Popen(run, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        address = alone.stdout.readline().split()[1]
        shown = subprocess.run(
            [sys.executable, "-m", "driftshed.cli", "fleet", "--supervisor", address],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert shown.returncode == 4 and "--fleet-connect" in shown.stderr
    finally:
        alone.terminate()
        alone.wait(10)
        alone.stdout.close()
    for flags, message in (
        (("--name", "a"), "--expected"),
        (("--name", "a/b", "--expected", "a/b"), "--name"),
        (("--name", "a", "--expected", "a,b,b"), "--expected"),
    ):
        bad = subprocess.run(
            [*run, "--fleet-connect", "127.0.0.1:1", *flags], capture_output=True, text=True, timeout=30
        )
        assert bad.returncode == 2 and message in bad.stderr
