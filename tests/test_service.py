"""The supervisor's HTTP API over real sockets, in the test process and as a process of its own."""

import json
import os
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from driftshed.cli import main
from driftshed.coordination.handover import handover_interval
from driftshed.core.instance import Instance
from driftshed.core.messages import Changes, Line
from driftshed.net.http import HttpClient
from driftshed.net.http_server import Bounds
from driftshed.net.loop import Loop
from driftshed.supervisor.flags import read_operation
from driftshed.supervisor.service import Service
from tests.test_core import FACTS, roster_update
from tests.test_net import RawConnection, run_until

CHANGES_DECODER = msgspec.json.Decoder(Changes)
OPERATION = "look:objective=0.5,timeout=1.5,value=1,effect=idempotent"


class ServiceRig:
    """A service and HTTP clients that call it."""

    def __init__(self, **options) -> None:
        self.loop, self.logged = Loop(), []
        self.instance = Instance(FACTS._replace(lines_per_second=20000.0), 7, "run", self.loop.clock())
        self.service = Service(self.loop, self.instance, ("127.0.0.1", 0), self._log, **options)
        self.client = HttpClient(self.loop, self.service.address)

    def _log(self, event: str, **fields) -> None:
        self.logged.append((event, fields))

    def send(self, method: str, path: str, body=None, client=None, content_type: str = "application/json") -> list:
        """Sends a request; returns the list to which the answer will be appended."""
        answers: list = []
        data = body if isinstance(body, bytes) else b"" if body is None else msgspec.json.encode(body)
        (client or self.client).call(method, path, data, answers.append, 10.0, kind=content_type)
        return answers

    def call(self, *args, **options):
        answers = self.send(*args, **options)
        run_until(self.loop, lambda: answers)
        return answers[0].status, msgspec.json.decode(answers[0].body)

    def push_roster(self, version: int, whole: bool, *numbers: int, **options) -> None:
        assert self.call("POST", "/v1/roster", roster_update(version, whole, *numbers, **options))[0] == 200

    def join(self, number: int = 3, zone: str = "east", **fields):
        """Joins a proxy on a connection of its own; returns the client and the answer."""
        client = HttpClient(self.loop, self.service.address)
        status, answer = self.call(
            "POST", f"/v1/proxies/{number}/join", {"zone": zone, "rate": 5.0, **fields}, client=client
        )
        assert status == 200
        return client, answer

    def poll(self, client, stream: str, after: int, number: int = 3, wait: float = 5.0) -> list:
        path = f"/v1/proxies/{number}/changes?stream={stream}&after={after}&wait={wait}"
        return self.send("GET", path, client=client)

    def close(self) -> None:
        self.service.http.close()
        self.loop.close()


@pytest.fixture
def rig():
    rig = ServiceRig()
    yield rig
    rig.close()


def test_a_proxy_joins_polls_and_is_sent_first_the_whole_then_changes(rig):
    rig.push_roster(1, True, 1, 2, 3, 4)
    client, joined = rig.join()
    first = rig.poll(client, joined["stream"], joined["version"])
    run_until(rig.loop, lambda: first)
    snapshot = CHANGES_DECODER.decode(first[0].body)
    assert snapshot.whole and sum(isinstance(change, Line) for change in snapshot.changes) == 4
    second = rig.poll(client, joined["stream"], snapshot.version)
    rig.push_roster(2, False, 2, state="draining")
    run_until(rig.loop, lambda: second)
    delta = CHANGES_DECODER.decode(second[0].body)
    assert (delta.since, delta.whole) == (snapshot.version, False)
    assert delta.changes == [Line(0, "10.0.0.2:80", 0.0)]
    servers = {row["server"]: row for row in rig.call("GET", "/v1/servers")[1]}
    assert servers["10.0.0.2:80"]["why"] == "listed as draining" and not servers["10.0.0.2:80"]["lines"]
    assert rig.call("GET", "/v1/tables")[1]["proxies"] == {"0": [3]}


def test_a_poll_without_changes_is_held_and_answered_empty(rig):
    client, joined = rig.join()
    started_at = time.monotonic()
    answers = rig.poll(client, joined["stream"], 0, wait=0.2)
    run_until(rig.loop, lambda: answers)
    assert CHANGES_DECODER.decode(answers[0].body).changes == [] and time.monotonic() - started_at >= 0.2


@pytest.mark.parametrize(
    ("method", "path", "body", "content_type", "status"),
    [
        ("GET", "/v1/nothing", None, "", 404),
        ("PUT", "/v1/tables", b"", "", 405),
        ("DELETE", "/v1/proxies/3/join", None, "", 405),
        ("GET", "/v1/proxies/99999999/changes?stream=x&after=0", None, "", 400),
        ("GET", "/v1/proxies/-1/changes?stream=x&after=0", None, "", 400),
        ("GET", "/v1/proxies/9/changes?stream=x&after=0", None, "", 404),
        ("GET", "/v1/proxies/3/changes?stream=other&after=0", None, "", 409),
        ("GET", "/v1/proxies/3/changes?stream=STREAM&after=99", None, "", 409),
        ("GET", "/v1/proxies/3/changes?stream=STREAM&after=x", None, "", 400),
        ("GET", "/v1/proxies/3/changes?stream=STREAM&after=0&wait=nan", None, "", 400),
        ("POST", "/v1/proxies/4/join", b"{", "application/json", 400),
        ("POST", "/v1/proxies/4/join", b'{"zone":"moon","rate":1}', "application/json", 400),
        ("POST", "/v1/proxies/4/join", b'{"zone":"east","rate":-1}', "application/json", 400),
        ("POST", "/v1/proxies/4/join", b'{"zone":"east","rate":1,"odd":1}', "application/json", 400),
        ("POST", "/v1/proxies/4/join", b'{"zone":"east","rate":1,"run":"run","version":7}', "application/json", 409),
        ("POST", "/v1/proxies/4/join", b'{"zone":"east","rate":1}', "text/plain", 415),
        ("POST", "/v1/proxies/3/report", b'{"stream":"other"}', "application/json", 409),
        (
            "POST",
            "/v1/proxies/3/report",
            b'{"stream":"STREAM","servers":[{"server":"x","tries":1}]}',
            "application/json",
            400,
        ),
        (
            "POST",
            "/v1/proxies/3/report",
            b'{"stream":"STREAM","operations":[{"operation":"odd","arrived":1}]}',
            "application/json",
            400,
        ),
        ("POST", "/v1/roster", b'{"version":9,"whole":false,"servers":[]}', "application/json", 409),
        ("POST", "/v1/roster", b"x" * 60000, "application/json", 413),
    ],
)
def test_bad_input_gets_a_4xx_with_a_plain_reason_and_nothing_is_disturbed(method, path, body, content_type, status):
    rig = ServiceRig(bounds=Bounds(body_bytes=50000))
    rig.push_roster(1, True, 1, 2, 3)
    client, joined = rig.join()
    first = rig.poll(client, joined["stream"], 0)
    run_until(rig.loop, lambda: first)
    version = CHANGES_DECODER.decode(first[0].body).version
    held = rig.poll(client, joined["stream"], version)
    path = path.replace("STREAM", joined["stream"])
    body = body.replace(b"STREAM", joined["stream"].encode()) if body else body
    actual_status, answer = rig.call(method, path, body, content_type=content_type)
    assert actual_status == status and len(answer["error"]) > 10
    assert not held and rig.instance.hub.records[3].joined and list(rig.service.streams) == [3]
    rig.push_roster(2, False, 3, state="draining")
    run_until(rig.loop, lambda: held)
    assert CHANGES_DECODER.decode(held[0].body).changes == [Line(0, "10.0.0.3:80", 0.0)]
    rig.close()


def test_a_body_cut_short_disturbs_nothing(rig):
    raw = RawConnection(rig.loop, rig.service.address)
    head = b"POST /v1/roster HTTP/1.1\r\ncontent-type: application/json\r\ncontent-length: 90\r\n\r\n"
    raw.sock.sendall(head + b'{"ver')
    rig.loop.turn(time.monotonic() + 0.05)
    raw.sock.close()
    rig.push_roster(1, True, 1)
    assert rig.instance.roster.version == 1


def has_left(rig, proxy: int = 3) -> bool:
    return not rig.instance.hub.records[proxy].joined


@pytest.mark.parametrize("ending", ["ended", "reset", "silent", "leave"])
def test_a_stream_that_ends_is_left_and_the_proxy_resumes_by_version(ending):
    rig = ServiceRig(silence_timeout=0.3)
    rig.push_roster(1, True, 1, 2, 3)
    client, joined = rig.join()
    first = rig.poll(client, joined["stream"], 0)
    run_until(rig.loop, lambda: first)
    version = CHANGES_DECODER.decode(first[0].body).version
    if ending in ("ended", "reset"):
        rig.poll(client, joined["stream"], version)
        rig.loop.turn(time.monotonic() + 0.05)
        next(iter(client.connections)).stream.abort("x", hard=ending == "reset")
    elif ending == "leave":
        assert rig.call("POST", f"/v1/proxies/3/leave?stream={joined['stream']}", b"")[0] == 200
    run_until(rig.loop, lambda: has_left(rig))
    rig.push_roster(2, False, 1, state="draining")
    client, rejoined = rig.join(run="run", version=version, fresh=False)
    assert rejoined["version"] == version and rejoined["stream"] != joined["stream"]
    answers = rig.poll(client, rejoined["stream"], version)
    run_until(rig.loop, lambda: answers)
    delta = CHANGES_DECODER.decode(answers[0].body)
    assert not delta.whole and delta.changes == [Line(0, "10.0.0.1:80", 0.0)]  # only the changes that it missed
    rig.close()


def test_a_second_stream_replaces_the_first_and_the_older_one_is_told(rig):
    rig.push_roster(1, True, 1, 2)
    client, joined = rig.join()
    first = rig.poll(client, joined["stream"], 0)
    run_until(rig.loop, lambda: first)
    held = rig.poll(client, joined["stream"], CHANGES_DECODER.decode(first[0].body).version)
    rig.loop.turn(time.monotonic() + 0.05)
    _, newer = rig.join()
    run_until(rig.loop, lambda: held)
    assert held[0].status == 409 and b"replaced" in held[0].body
    late_poll = rig.poll(client, joined["stream"], 0)
    run_until(rig.loop, lambda: late_poll)
    assert late_poll[0].status == 409 and rig.instance.hub.records[3].stream == newer["stream"]
    assert [fields["replaced"] for event, fields in rig.logged if event == "joined"] == [False, True]
    client.close()  # the end of the older stream's connection does not end the newer stream
    rig.loop.turn(time.monotonic() + 0.05)
    assert not has_left(rig)


def test_a_stream_is_on_the_connection_of_its_last_poll(rig):
    rig.push_roster(1, True, 1, 2)
    client, joined = rig.join()
    other = HttpClient(rig.loop, rig.service.address)
    first = rig.poll(other, joined["stream"], 0)
    run_until(rig.loop, lambda: first)
    held = rig.poll(other, joined["stream"], CHANGES_DECODER.decode(first[0].body).version)
    client.close()  # the connection that the proxy joined on
    rig.loop.turn(time.monotonic() + 0.05)
    rig.push_roster(2, False, 1, state="draining")
    run_until(rig.loop, lambda: held)
    assert held[0].status == 200 and not has_left(rig)
    other.close()
    run_until(rig.loop, lambda: has_left(rig))


def test_reports_reach_the_module_summed_by_zone(rig):
    rig.push_roster(1, True, 1, 2)
    module_events = []
    rig.instance.on_turn = lambda now, events, orders: module_events.extend(events)
    for number, zone in ((0, "east"), (1, "east"), (2, "west")):
        _, joined = rig.join(number, zone)
        server_report = {"server": "10.0.0.1:80", "tries": 4, "errored": 1, "latency": 0.2}
        report = {
            "stream": joined["stream"],
            "servers": [server_report],
            "operations": [{"operation": rig.instance.facts.operations[0].name, "arrived": 5}],
        }
        assert rig.call("POST", f"/v1/proxies/{number}/report", report)[0] == 200
    run_until(rig.loop, lambda: sum(type(event).__name__ == "Heard" for event in module_events) == 2)
    sums = sorted(
        (event.zone, event.tries, event.errored, round(event.latency, 6))
        for event in module_events
        if type(event).__name__ == "Heard"
    )
    assert sums == [(0, 8, 2, 0.2), (1, 4, 1, 0.2)]
    assert sorted(event.proxy for event in module_events if type(event).__name__ == "Demand") == [0, 1, 2]


# ---- the supervisor as a process ------------------------------------------------------------------------------------


def run_supervise(*arguments: str, env: dict | None = None):
    return subprocess.run(
        [sys.executable, "-m", "driftshed.cli", "supervise", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, **(env or {})},
    )


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ([], "--operation"),
        (["--operation", "look"], "NAME:objective"),
        (["--operation", "look:objective=1,timeout=0.5,value=1"], "timeout must be above objective"),
        (["--operation", "look:objective=1,timeout=2,value=1,effect=odd"], "effect"),
        (["--operation", OPERATION, "--warm-within", "-1"], "--warm-within"),
        (["--operation", OPERATION, "--queue-cap", "5"], "--queue-cap"),
        (["--operation", OPERATION, "--zones", "a,a"], "--zones"),
        (["--operation", OPERATION, "--worst-transit", "0.01"], "must not be below --transit"),
        (["--operation", OPERATION, "--listen", "0.0.0.0:7000"], "loopback alone"),
        (["--operation", OPERATION, "--own-number", "3"], "must be below --supervisors"),
    ],
)
def test_a_bad_flag_is_named_with_its_remedy(arguments, expected):
    from click.testing import CliRunner

    result = CliRunner().invoke(main, ["supervise", *arguments])
    assert result.exit_code == 2 and expected in " ".join(result.output.split())


def test_flags_come_from_the_environment_too():
    result = run_supervise(env={"DRIFTSHED_OPERATION": f"{OPERATION};pay:objective=1,timeout=0.5,value=1"})
    assert result.returncode == 2 and "timeout must be above objective" in " ".join(result.stderr.split())
    assert read_operation(OPERATION).effect == "idempotent"


def test_the_process_says_where_it_listens_and_ends_within_a_second_of_sigterm():
    process = subprocess.Popen(
        [sys.executable, "-m", "driftshed.cli", "supervise", "--operation", OPERATION],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        host, _, port = process.stdout.readline().split()[1].rpartition(":")
        loop, answers = Loop(), []
        client = HttpClient(loop, (host, int(port)))
        client.call("POST", "/v1/proxies/1/join", b'{"zone":"east","rate":1}', answers.append, 5.0)
        run_until(loop, lambda: answers)
        stream = msgspec.json.decode(answers[0].body)["stream"]
        client.call("GET", f"/v1/proxies/1/changes?stream={stream}&after=0", b"", answers.append, 9.0)
        loop.turn(time.monotonic() + 0.2)
        started_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        run_until(loop, lambda: len(answers) == 2)
        assert answers[1].status == 503  # the held poll
        assert process.wait(10) == 0 and time.monotonic() - started_at < 5.0
        events = [json.loads(line)["event"] for line in process.stderr.read().splitlines()]
        assert events[0] == "listening" and events[-1] == "stopped" and "joined" in events
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        process.stderr.close()


def test_a_join_that_was_held_up_does_not_replace_the_present_stream(rig):
    """The term in the rejection lets a restarted proxy continue above it."""
    body = {"zone": "east", "rate": 5.0}
    path = "/v1/proxies/3/join?term="
    assert rig.call("POST", path + "7", body)[0] == 200
    stream = rig.instance.hub.records[3].stream
    status, answer = rig.call("POST", path + "6", body)
    assert status == 409 and answer["term"] == 7 and "term 6" in answer["error"]
    assert rig.instance.hub.records[3].stream == stream and rig.instance.hub.records[3].joined
    assert rig.call("POST", path + "8", body)[0] == 200
    assert rig.instance.hub.records[3].stream != stream
    for bad in ("-1", "x", str(2**32)):
        assert rig.call("POST", path + bad, body)[0] == 400


def test_answers_to_joins_name_the_live_supervisors(rig):
    rig.service.live_supervisors = lambda: ["127.0.0.1:7001", "127.0.0.1:7002"]
    assert rig.join()[1]["supervisors"] == ["127.0.0.1:7001", "127.0.0.1:7002"]


def test_a_proxy_that_joined_before_the_others_were_known_learns_of_them_with_its_next_answer(rig):
    client, joined = rig.join()
    polled = rig.poll(client, joined["stream"], 0, wait=0.05)
    run_until(rig.loop, lambda: polled)
    assert "supervisors" not in msgspec.json.decode(polled[0].body)
    rig.service.live_supervisors = lambda: ["127.0.0.1:7001"]
    for expected in (["127.0.0.1:7001"], None):  # sent only once
        polled = rig.poll(client, joined["stream"], 0, wait=0.05)
        run_until(rig.loop, lambda polled=polled: polled)
        assert msgspec.json.decode(polled[0].body).get("supervisors") == expected


def test_proxies_are_handed_over_one_by_one_and_none_is_taken_meanwhile(rig):
    clients, done = [], []
    for number in range(3):
        client, joined = rig.join(number)
        answers = rig.poll(client, joined["stream"], 0, number)
        clients.append((client, answers))
    run_until(rig.loop, lambda: all(poll.request for poll in rig.service.streams.values()))
    pauses = []
    rig.service.hand_over(lambda lines: pauses.append(lines) or 0.05, lambda: done.append(1))
    assert rig.call("POST", "/v1/proxies/9/join", {"zone": "east", "rate": 5.0})[0] == 503
    disconnected = []
    while not done:
        for client, answers in clients:
            if answers and client not in disconnected:
                assert answers[0].status == 503 and answers[0].headers[b"retry-after"] == b"0"
                disconnected.append(client)
                client.close()
        rig.loop.turn(rig.loop.clock() + 0.01)
    assert len(disconnected) == 3 <= len(pauses) and not rig.service.streams


def test_the_pace_of_a_hand_over_leaves_each_channel_time_for_one_proxys_tables():
    assert handover_interval(30, 3000.0, 2) == pytest.approx(0.005)
    assert handover_interval(0, 1000.0, 0) == pytest.approx(0.001)  # never without a pause
