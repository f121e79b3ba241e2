"""A roster that reports the state of servers with a delay. It pushes the list, then its changes, to one supervisor, or
lets servers announce themselves in a store."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random

import msgspec

from driftshed.core.messages import ListedServer, RosterUpdate, encode_json
from driftshed.net.http import Answer, HttpClient
from driftshed.net.loop import Loop, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import Announcer
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import Close
from driftshed.roster.membership import ServerAnnouncement

TICK_S = 0.05
RETRY_DELAY_S = 0.25  # after a failed push
CHECK_INTERVAL_S = 0.5  # between checks of the supervisor's version: a restarted supervisor has lost the list


class RosterStandin:
    """Pushes the list of servers to one supervisor. `lag`: seconds from a change to its push; it may be changed at any
    time."""

    def __init__(self, loop: Loop, client: HttpClient, lag: float) -> None:
        """`client`: connected to the supervisor's API. Nothing is sent before `publish_initial`."""
        self.loop, self.client, self.lag = loop, client, lag
        self.servers: dict[str, ListedServer] = {}  # the list as pushed
        self.delayed: deque[tuple[float, ListedServer]] = deque()  # with the time of the change
        self.due_changes: list[ListedServer] = []  # past the lag, not yet pushed
        self.version, self.send_snapshot, self.in_flight, self.checked_at = 0, True, False, 0.0

    def change(self, server: ListedServer) -> None:
        """Reports a change of a server after the lag; state "gone" removes it."""
        self.delayed.append((self.loop.clock(), server))

    def publish_initial(self, servers: list[ListedServer]) -> None:
        """Pushes the initial list without delay and starts the timer."""
        self.servers = {each.server: each for each in servers}
        self._tick()

    def _tick(self) -> None:
        self.loop.after(TICK_S, self._tick)
        now = self.loop.clock()
        while self.delayed and self.delayed[0][0] <= now - self.lag:
            each = self.delayed.popleft()[1]
            self.due_changes.append(each)
            if each.state == "gone":
                self.servers.pop(each.server, None)
            else:
                self.servers[each.server] = each
        if self.in_flight:
            return
        if self.send_snapshot or self.due_changes:
            self._push()
        elif now - self.checked_at >= CHECK_INTERVAL_S:
            self.in_flight, self.checked_at = True, now
            self.client.call("GET", "/v1/roster", b"", self._on_version, 1.0)

    def _on_version(self, answer: Answer) -> None:
        self.in_flight = False
        self.send_snapshot = answer.status != 200 or msgspec.json.decode(answer.body)["version"] != self.version

    def _push(self) -> None:
        self.in_flight, self.version = True, self.version + 1
        latest = {each.server: each for each in self.due_changes}
        servers = list(self.servers.values()) if self.send_snapshot else list(latest.values())
        snapshot, self.due_changes = self.send_snapshot, []
        update = RosterUpdate(self.version, snapshot, servers)

        def on_answer(answer: Answer) -> None:
            self.send_snapshot = answer.status != 200
            if self.send_snapshot:  # unreachable or restarted: push the full snapshot after a delay
                self.loop.after(RETRY_DELAY_S, self._allow_push)
            else:
                self.in_flight = False

        self.client.call("POST", "/v1/roster", encode_json(update), on_answer, 1.0)

    def _allow_push(self) -> None:
        self.in_flight = False

    @staticmethod
    def unix_time(clock: float) -> float | None:
        """The unix time of a moment on the loop's clock; None for minus infinity."""
        return None if clock == float("-inf") else time.time() - time.monotonic() + clock


SERVERS_ROOT = "/driftshed/servers"


class StoreRoster:
    """Servers that announce themselves by nodes in a store. Has the same `publish_initial` and `change` as
    `RosterStandin`."""

    def __init__(
        self, loop: Timers, store: tuple[str, int], timeout: float, seed: int, dial: Callable[..., Stream] = dial
    ) -> None:
        """`timeout`: of the sessions with the store, in seconds."""
        self.dial = dial
        self.loop, self.store, self.timeout, self.random = loop, store, timeout, Random(f"roster {seed}")
        self.announcers: dict[str, Announcer] = {}

    def publish_initial(self, servers: list[ListedServer]) -> None:
        """Announces the initial servers."""
        for server in servers:
            self.change(server)

    def change(self, server: ListedServer) -> None:
        """A server starts, drains, or is gone. One that was draining leaves properly; another only stops, as in a
        crash."""
        announcer = self.announcers.get(server.server)
        if server.state == "draining":
            announcer.set_server_state("draining")
        elif server.state == "gone":
            if announcer.node.state == "draining":
                announcer.leave()
            else:
                announcer.stop()
            del self.announcers[server.server]
        else:
            node = ServerAnnouncement(
                server.server, server.zone, server.kind, "ready", server.started, server.cell, server.weight, 0
            )
            seed = self.random.getrandbits(32)
            self.announcers[server.server] = Announcer(
                self.loop, [self.store], SERVERS_ROOT, node, self.timeout, seed, dial=self.dial
            )

    def end_session(self, server: str) -> None:
        """Ends a server's session as if it had expired: a second client closes it with its id and password."""
        session = self.announcers[server].client.session
        closer = RosterClient(
            self.loop, [self.store], self.timeout, self.random, lambda state: None, lambda event: None, self.dial
        )
        closer.session.session, closer.session.password, closer.session.zxid = session.session, session.password, 0
        closer.send_request(Close(), lambda error, result: closer.stop())

    def stop(self) -> None:
        """Stops all announcers."""
        for announcer in self.announcers.values():
            announcer.stop()
