"""Supervisors as real processes: `run` of the deploy file, reached over loopback sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom

from driftshed import interface as face
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener, Stream, dial
from driftshed.node.jsonlines import LineReader
from driftshed.node.resp import encode_message
from driftshed.standins.platform.bad_clients import BadClients
from driftshed.standins.platform.call_faults import CallFault
from driftshed.standins.platform.fleet import PROXIES, SUPERVISORS, Fleet
from driftshed.standins.platform.plans import NEWS_LAG_BEFORE_RELOAD_S, RELOAD_AT_S, Plan, draw_plan
from driftshed.standins.platform.seat import Seat
from driftshed.standins.platform.settings import ChannelFigures, fleet_configuration, fleet_options
from driftshed.standins.platform.troubles import Trouble

ROOT = Path(__file__).resolve().parents[3]
START_S = 3.0  # from the start of the processes to that of the play
READY_WITHIN_S = 30.0  # of the start of the processes
LISTEN_PORTS = (15000, 32000)
PING_INTERVAL_S = 1.0
EMPTY_LINE_INTERVAL_S = 2.0
OLD_ADDRESS_LASTS_S = 1.5  # after a reload, for the connections to it that are open
CLOSE_WITHIN_S = 10.0  # of SIGTERM
KILL_AFTER_S = 0.7  # SIGTERM, at a planned restart
ONLY_NEWS_PAUSE_S = 4.0  # for which the rules' time limits wait when the only connection with news is broken
SPOILT_BYTES = b"*3\r\n$4\r\nLOAD\r\n$-2\r\n\xff"
LATENESS_INTERVAL_S = 0.05
HTTP_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"


def encode_chunk(document: dict | None) -> bytes:
    """One line of a watch as a chunk of the answer; None: the empty line."""
    line = b"\n" if document is None else json.dumps(document).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


def free_address(random: Random) -> str:
    """An address that nobody listens at, with a port that no outgoing connection takes."""
    while True:
        address = ("127.0.0.1", random.randrange(*LISTEN_PORTS))
        with socket.socket() as probe:
            try:
                probe.bind(address)
            except OSError:
                continue
        return format_address(address)


def format_address(address: tuple[str, int]) -> str:
    """The "host:port" text of an address."""
    return f"{address[0]}:{address[1]}"


class Endpoint:
    """The relay and discovery of one supervisor at one pair of addresses; after a reload they are served at another."""

    def __init__(self, loop: Loop, seat: Seat) -> None:
        """Listens at two free ports."""
        self.loop, self.seat = loop, seat
        self.news_lag = 0.0  # seconds
        self.silent_watches: dict[Stream, list[bytes]] = {}  # and what they have not been told
        self.streams: set[Stream] = set()
        self.relay_watches: set[Stream] = set()
        self.list_watches: set[Stream] = set()
        self.relay = Listener(loop, ("127.0.0.1", 0), self._accept_relay)
        self.discovery = Listener(loop, ("127.0.0.1", 0), self._accept_discovery)
        self._repeat(PING_INTERVAL_S, self._ping)
        self._repeat(EMPTY_LINE_INTERVAL_S, self._empty_line)

    def _repeat(self, interval: float, call) -> None:
        def again() -> None:
            call()
            if self.relay.sock is not None or self.streams:
                self.loop.after(interval, again)

        self.loop.after(interval, again)

    def _keep(self, stream: Stream) -> None:
        self.streams.add(stream)

        def ended(_: str) -> None:
            for streams in (self.streams, self.relay_watches, self.list_watches):
                streams.discard(stream)
            self.silent_watches.pop(stream, None)

        stream.on_end = ended

    def retire(self) -> None:
        """Takes no new connection, and ends the open ones a little later."""
        self.relay.close()
        self.discovery.close()
        self.loop.after(OLD_ADDRESS_LASTS_S, self.close)

    def close(self) -> None:
        """Ends all connections."""
        self.relay.close()
        self.discovery.close()
        for stream in list(self.streams):
            stream.abort("over")

    # ---- the relay --------------------------------------------------------------------------------------------

    def _accept_relay(self, stream: Stream) -> None:
        self._keep(stream)
        lines = LineReader()
        stream.on_data = lambda data: [self._handle_call(stream, json.loads(line)) for line in lines.feed(data)]

    def _handle_call(self, stream: Stream, call: dict) -> None:
        if call["method"] == "relay.watch":
            self._send(stream, {"jsonrpc": "2.0", "id": call["id"], "result": True})
            for proxy in self.seat.relay.proxies.values():
                self._notify(stream, "SUBSCRIBE", self.seat.relay.subscription(proxy))
            self.relay_watches.add(stream)
            return
        fault, carried_out = self.seat.call_faults.draw()
        self.seat.call_failed(fault)
        accepted = self.seat.relay.apply(call["params"]["ops"]) if carried_out else 0
        if fault is CallFault.NONE:
            self._send(stream, {"jsonrpc": "2.0", "id": call["id"], "result": {"accepted": accepted}})
        elif fault is CallFault.THROTTLE:
            self._send(stream, {"jsonrpc": "2.0", "id": call["id"], "error": {"code": -32000, "message": "Throttling"}})
        elif fault is CallFault.UNREADABLE:
            stream.write(b'{"jsonrpc":"2.0","id":\xff\xfe\n')
        elif fault is CallFault.BREAK:
            stream.abort("broken")

    def _send(self, stream: Stream, document: dict) -> None:
        text = json.dumps(document, separators=(",", ":")).encode() + b"\n"
        if stream in self.silent_watches:
            self.silent_watches[stream].append(text)
        else:
            stream.write(text)

    def break_watch(self, random: Random) -> None:
        """Breaks one connection with news; where it was the only one, the rules' time limits wait."""
        if not self.relay_watches:
            return
        if len(self.relay_watches) == 1:
            self.seat.limits.pause(self.loop.clock(), ONLY_NEWS_PAUSE_S)
        self._choose(self.relay_watches, random).abort("broken")

    def silence_watch(self, random: Random, seconds: float) -> None:
        """One connection with news goes silent; what it has not told comes afterwards, or it is reset."""
        if not self.relay_watches:
            return
        stream = self._choose(self.relay_watches, random)
        self.silent_watches.setdefault(stream, [])

        def over() -> None:
            untold = self.silent_watches.pop(stream, None)
            if untold is None:
                return
            if random.random() < 0.5:
                stream.write(b"".join(untold))
            else:
                stream.abort("reset")

        self.loop.after(seconds, over)

    def break_list_watch(self, random: Random) -> None:
        """Breaks one watch of the list."""
        if self.list_watches:
            self._choose(self.list_watches, random).abort("broken")

    def _choose(self, streams: set[Stream], random: Random) -> Stream:
        return random.choice(sorted(streams, key=id))

    def _notify(self, stream: Stream, method: str, params: dict) -> None:
        self._send(stream, {"jsonrpc": "2.0", "method": method, "params": params})

    def notify(self, method: str, params: dict) -> None:
        """Writes a notification to all that watch."""
        self._tell({"jsonrpc": "2.0", "method": method, "params": params})

    def _ping(self) -> None:
        self._tell({"jsonrpc": "2.0", "method": "ping"})

    def _tell(self, document: dict) -> None:
        for stream in list(self.relay_watches):
            if self.news_lag:
                self.loop.after(self.news_lag, lambda stream=stream: self._send(stream, document))
            else:
                self._send(stream, document)

    # ---- discovery --------------------------------------------------------------------------------------------

    def _accept_discovery(self, stream: Stream) -> None:
        self._keep(stream)
        received = bytearray()

        def data_received(data: bytes) -> None:
            received.extend(data)
            if b"\r\n\r\n" in received:
                self._begin_watch(stream, received.split(b" ")[1].decode())
                received.clear()

        stream.on_data = data_received

    def _begin_watch(self, stream: Stream, target: str) -> None:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
        index = int(query.get("index", -1))
        agent = self.seat.agent
        document = agent.changes_after(index) if index >= 0 else agent.full_list()
        stream.write(HTTP_HEAD + encode_chunk(document))
        self.list_watches.add(stream)

    def list_changed(self, document: dict) -> None:
        """Writes a change of the list to all that watch."""
        for stream in list(self.list_watches):
            stream.write(encode_chunk(document))

    def _empty_line(self) -> None:
        if self.loop.clock() < self.seat.list_silent_until:
            return
        for stream in list(self.list_watches):
            stream.write(encode_chunk(None))


class ProcessSupervisor:
    """A supervisor process with its relay, discovery and collectors."""

    def __init__(self, loop: Loop, seat: Seat, folder: Path, figures: ChannelFigures) -> None:
        """Starts the process; its log goes to a file in `folder`."""
        self.loop, self.seat, self.figures = loop, seat, figures
        self.facts = fleet_options(SUPERVISORS, PROXIES, figures).facts
        self.endpoints = [Endpoint(loop, seat)]
        self.listen = free_address(SystemRandom())
        self.file = folder / f"n{seat.number}.json"
        self.log = open(folder / f"n{seat.number}.log", "wb")
        self.answered = False
        self.collectors: list[Stream] = []
        self.spoilt_share, self.random = 0.0, Random(f"spoilt reports {seat.number}")
        self.bad_clients = BadClients(loop, self._address(), Random(f"bad clients {seat.number}"))
        self.handlers: dict[str, Callable[[Trouble, Random], None]] = {
            "repeated reloads": self._reload_repeatedly,
            "broken news": self._break_news,
            "broken watches of the list": self._break_list_watches,
            "silent news": self._silence_news,
            "spoilt reports": self._spoil_reports,
            "bad clients": self._connect_bad_clients,
        }
        self._start()

    def _address(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def _start(self) -> None:
        self._write_configuration()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {"LB_CONFIG": str(self.file)}
        environment.pop("LB_LISTEN", None)
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def kill(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()
        self._end_collectors()

    def terminate(self) -> None:
        """Ends the process with SIGTERM, and with SIGKILL if it has not ended by then."""
        process = self.process
        process.send_signal(signal.SIGTERM)
        self._end_collectors()
        self.loop.after(KILL_AFTER_S, process.kill)

    def stall(self, seconds: float) -> None:
        """The process stands still for so long."""
        process = self.process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.loop.after(seconds, lambda: process.send_signal(signal.SIGCONT))

    def play(self, trouble: Trouble, random: Random) -> None:
        """Plays a trouble of its connections."""
        self.handlers[trouble.kind](trouble, random)

    def _reload_repeatedly(self, trouble: Trouble, random: Random) -> None:
        for _ in range(int(trouble.size)):
            self.loop.after(random.uniform(0.0, trouble.lasts), self._reload_if_running)

    def _break_news(self, trouble: Trouble, random: Random) -> None:
        self._repeat_for_a_while(trouble, random, lambda: self.endpoints[-1].break_watch(random))

    def _break_list_watches(self, trouble: Trouble, random: Random) -> None:
        self._repeat_for_a_while(trouble, random, lambda: self.endpoints[-1].break_list_watch(random))

    def _silence_news(self, trouble: Trouble, random: Random) -> None:
        self.endpoints[-1].silence_watch(random, trouble.lasts)

    def _spoil_reports(self, trouble: Trouble, random: Random) -> None:
        self.spoilt_share = trouble.size
        self.loop.after(trouble.lasts, lambda: setattr(self, "spoilt_share", 0.0))

    def _connect_bad_clients(self, trouble: Trouble, random: Random) -> None:
        self.bad_clients.play(trouble.lasts, trouble.size)

    def _repeat_for_a_while(self, trouble: Trouble, random: Random, call: Callable[[], None]) -> None:
        ends_at = self.loop.clock() + trouble.lasts

        def again() -> None:
            if self.loop.clock() < ends_at:
                call()
                self.loop.after(random.uniform(0.5, 1.5) * trouble.size, again)

        again()

    def _reload_if_running(self) -> None:
        if self.seat.alive:
            self.reload()

    def revive(self) -> None:
        """Starts it from nothing."""
        self._start()
        self.loop.after(START_S / 3, self.connect_collectors)

    def _end_collectors(self) -> None:
        for stream in self.collectors:
            stream.abort("over")
        self.collectors = []

    def _write_configuration(self) -> None:
        endpoint = self.endpoints[-1]
        addresses = format_address(endpoint.discovery.address), format_address(endpoint.relay.address)
        document = fleet_configuration(self.seat.number, SUPERVISORS, PROXIES, self.listen, *addresses, self.figures)
        document["known"] = self.seat.agent.full_list()
        replacement = self.file.with_suffix(".new")
        replacement.write_text(json.dumps(document))
        replacement.replace(self.file)

    def connect_collectors(self) -> None:
        """Connects a collector for each zone, which also asks whether the supervisor is ready."""
        self.collectors = [self._connect_collector(zone) for zone in self.facts.zones]

    def _connect_collector(self, zone: str) -> Stream:
        stream = dial(self.loop, self._address())
        stream.on_data = lambda data: setattr(self, "answered", True)
        stream.write(encode_message("SOURCE", "site", zone) + encode_message("PING"))
        return stream

    def notify(self, method: str, params: dict) -> None:
        """Passes on a notification of the relay."""
        for endpoint in self.endpoints:
            endpoint.notify(method, params)

    def list_changed(self, document: dict) -> None:
        """Passes on a change of the list."""
        for endpoint in self.endpoints:
            endpoint.list_changed(document)

    def report(self, events: list) -> None:
        """Passes on reports through the collectors."""
        for event in events if self.collectors else ():
            zone = event.zone if isinstance(event, face.Heard) else 0
            if self.collectors[zone].sock is None:  # ended by what could not be read
                self.collectors[zone] = self._connect_collector(self.facts.zones[zone])
            fields = self._report_fields(event)
            if self.spoilt_share and self.random.random() < self.spoilt_share:
                self.collectors[zone].write(self._spoil(fields))
            else:
                self.collectors[zone].write(encode_message(*fields))

    def _spoil(self, fields: list[str]) -> bytes:
        """A report of which a field is missing, out of range, of another type or unknown, or that cannot be read."""
        position = 2 * self.random.randrange(1, len(fields) // 2) if len(fields) > 3 else 2
        way = self.random.choice(["missing", "range", "type", "unknown", "unreadable"])
        if way == "unreadable":
            return SPOILT_BYTES
        if way == "missing":
            return encode_message(*fields[: position - 1], *fields[position + 1 :])
        value = {"range": "-1e400", "type": "seven", "unknown": "s-none"}[way]
        return encode_message(*fields[:position], value, *fields[position + 1 :])

    def _report_fields(self, event: face.Heard | face.Demand) -> list[str]:
        over = f"{1000 * event.window:.1f}"
        if isinstance(event, face.Demand):
            operation = self.facts.operations[event.operation].name
            fields = {"id": event.proxy, "lane": operation, "count": event.arrived, "fail": event.errored}
            return ["RATE", *(str(each) for pair in (fields | {"over": over}).items() for each in pair)]
        fields = {"site": self.facts.zones[event.zone], "target": event.server.decode(), "count": event.tries}
        fields |= {"fail": event.errored, "mean": f"{1000 * (event.latency or 0.0):.2f}", "over": over}
        if event.load:
            fields["util"] = f"inflight:{event.load[0]:g}"
        return ["LOAD", *(str(each) for pair in fields.items() for each in pair)]

    def reload(self) -> None:
        """Gives it other addresses with SIGHUP."""
        self.endpoints.append(Endpoint(self.loop, self.seat))
        self._write_configuration()
        self.process.send_signal(signal.SIGHUP)
        self.endpoints[-2].retire()

    def delay_news(self, seconds: float) -> None:
        """What the present address of the relay tells is late from now on."""
        self.endpoints[-1].news_lag = seconds

    def end(self) -> str:
        """Ends the process as a planned restart does. Returns what went wrong, or ""."""
        away, crashed, code = not self.seat.alive, None, 0
        if away:
            self.process.kill()
            self.process.wait()
        else:
            crashed = self.process.poll()
        if not away and crashed is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                code = self.process.wait(CLOSE_WITHIN_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                code = self.process.wait()
        self._end_collectors()
        for endpoint in self.endpoints:
            endpoint.close()
        self.log.close()
        errors = [line for line in Path(self.log.name).read_text().splitlines() if '"level":"error"' in line]
        if errors:
            return f"n{self.seat.number} logged {errors[0][:500]}"
        if crashed is not None:
            return f"n{self.seat.number} ended with {crashed} in the play"
        return f"n{self.seat.number} ended with {code} after SIGTERM" if code else ""


class Play:
    """A play of one seed against processes. `longest_delay`: how late the stand-ins were, in seconds."""

    def __init__(self, seed: int, folder: Path, plan: Plan | None = None) -> None:
        """Starts the processes, with their files in `folder`. Without a plan the seed draws it."""
        self.origin = time.monotonic() + START_S
        self.loop = Loop(lambda: time.monotonic() - self.origin)
        unix_offset = time.time() - self.loop.clock()
        plan = plan or draw_plan(seed)
        facts = fleet_options(SUPERVISORS, PROXIES, plan.figures).facts
        self.fleet = Fleet(self.loop, facts, seed, unix_offset, plan)
        self.supervisors = [ProcessSupervisor(self.loop, seat, folder, plan.figures) for seat in self.fleet.seats]
        for supervisor in self.supervisors:
            supervisor.seat.connect(supervisor)
        self.longest_delay = 0.0
        self.failures: list[str] = []

    def run(self, seconds: float) -> Fleet:
        """Plays so many seconds and judges."""
        try:
            self.loop.run(-START_S / 3)
            for supervisor in self.supervisors:
                supervisor.connect_collectors()
            self.loop.run(0.0)
            self._wait_until_ready()
            self.fleet.unix_offset = time.time() - self.loop.clock()  # the wait may have put off the clock
            self.fleet.begin()
            for supervisor in self.supervisors:
                self.loop.at(
                    RELOAD_AT_S - NEWS_LAG_BEFORE_RELOAD_S,
                    lambda supervisor=supervisor: supervisor.delay_news(self.fleet.plan.news_lag),
                )
            self._measure_delay(self.loop.clock())
            self.loop.run(seconds)
        finally:
            self.close()
        self.fleet.check_caps()
        return self.fleet

    def close(self) -> None:
        """Ends the processes, and notes what went wrong with them."""
        self.failures = [failure for each in self.supervisors if (failure := each.end())]
        for each in self.supervisors:
            if each.bad_clients.unanswered:
                counts = f"{each.bad_clients.unanswered} of {each.bad_clients.connected} bad clients"
                self.failures.append(f"n{each.seat.number} owes {counts} a close or a NACK")
        self.loop.close()

    def _wait_until_ready(self) -> None:
        """Puts off the start of the play until all supervisors have answered. Raises RuntimeError if one does not."""
        give_up_at = time.monotonic() + READY_WITHIN_S
        while not all(each.answered for each in self.supervisors):
            if time.monotonic() > give_up_at:
                raise RuntimeError("a supervisor was not ready in time; its log tells why")
            self.origin += LATENESS_INTERVAL_S
            self.loop.run(LATENESS_INTERVAL_S)

    def _measure_delay(self, due_at: float) -> None:
        now = self.loop.clock()
        self.longest_delay = max(self.longest_delay, now - due_at)
        self.loop.at(now + LATENESS_INTERVAL_S, lambda: self._measure_delay(now + LATENESS_INTERVAL_S))
