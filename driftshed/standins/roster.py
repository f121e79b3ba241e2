"""A roster that tells late whether processes run: it pushes the list, then its changes, to one supervisor."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random

import msgspec

from driftshed.core.messages import ListedServer, RosterNews, encode
from driftshed.net.http import Answer, HttpClient
from driftshed.net.loop import Loop, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.announce import Announcer
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import Close
from driftshed.roster.membership import Announced

TICK = 0.05  # seconds
AGAIN = 0.25  # seconds after which an unanswered push is tried again
CHECK = 0.5  # seconds between looks at what the supervisor holds: one that began anew holds nothing


class RosterStandin:
    """`lag`: seconds from a change to its telling; it may be raised and lowered at any time."""

    def __init__(self, loop: Loop, client: HttpClient, lag: float) -> None:
        self.loop, self.client, self.lag = loop, client, lag
        self.servers: dict[str, ListedServer] = {}  # as told
        self.waiting: deque[tuple[float, ListedServer]] = deque()  # since when
        self.pending: list[ListedServer] = []  # due, not yet told
        self.version, self.whole, self.busy, self.checked_at = 0, True, False, 0.0

    def change(self, server: ListedServer) -> None:
        self.waiting.append((self.loop.clock(), server))

    def begin(self, servers: list[ListedServer]) -> None:
        """What has been there for long, told at once."""
        self.servers = {each.server: each for each in servers}
        self._tick()

    def _tick(self) -> None:
        self.loop.after(TICK, self._tick)
        now = self.loop.clock()
        while self.waiting and self.waiting[0][0] <= now - self.lag:
            each = self.waiting.popleft()[1]
            self.pending.append(each)
            if each.state == "gone":
                self.servers.pop(each.server, None)
            else:
                self.servers[each.server] = each
        if self.busy:
            return
        if self.whole or self.pending:
            self._push()
        elif now - self.checked_at >= CHECK:
            self.busy, self.checked_at = True, now
            self.client.call("GET", "/v1/roster", b"", self._checked, 1.0)

    def _checked(self, answer: Answer) -> None:
        self.busy = False
        self.whole = answer.status != 200 or msgspec.json.decode(answer.body)["version"] != self.version

    def _push(self) -> None:
        self.busy, self.version = True, self.version + 1
        latest = {each.server: each for each in self.pending}
        servers = list(self.servers.values()) if self.whole else list(latest.values())
        whole, self.pending = self.whole, []
        news = RosterNews(self.version, whole, servers)

        def told(answer: Answer) -> None:
            self.whole = answer.status != 200
            if self.whole:  # not there, or begun anew: the whole list, after a while
                self.loop.after(AGAIN, self._free)
            else:
                self.busy = False

        self.client.call("POST", "/v1/roster", encode(news), told, 1.0)

    def _free(self) -> None:
        self.busy = False

    @staticmethod
    def unix(clock: float) -> float | None:
        """The unix time of a moment on the loop's clock."""
        return None if clock == float("-inf") else time.time() - time.monotonic() + clock


ROOT = "/driftshed/servers"


class StoreRoster:
    """Servers that announce themselves by nodes in a store, told of as `RosterStandin` is."""

    def __init__(
        self, loop: Timers, store: tuple[str, int], timeout: float, seed: int, dial: Callable[..., Stream] = dial
    ) -> None:
        self.dial = dial
        self.loop, self.store, self.timeout, self.random = loop, store, timeout, Random(f"roster {seed}")
        self.announcers: dict[str, Announcer] = {}

    def begin(self, servers: list[ListedServer]) -> None:
        for server in servers:
            self.change(server)

    def change(self, server: ListedServer) -> None:
        """A server starts, drains, or is gone: after a drain with a word, else without one."""
        announcer = self.announcers.get(server.server)
        if server.state == "draining":
            announcer.say("draining")
        elif server.state == "gone":
            if announcer.node.state == "draining":
                announcer.leave()
            else:
                announcer.stop()
            del self.announcers[server.server]
        else:
            node = Announced(
                server.server, server.zone, server.kind, "ready", server.started, server.cell, server.weight, 0
            )
            seed = self.random.getrandbits(32)
            self.announcers[server.server] = Announcer(
                self.loop, [self.store], ROOT, node, self.timeout, seed, dial=self.dial
            )

    def end_session(self, server: str) -> None:
        """As if it had lapsed: someone else with its number and password closes it."""
        session = self.announcers[server].client.session
        closer = RosterClient(
            self.loop, [self.store], self.timeout, self.random, lambda state: None, lambda event: None, self.dial
        )
        closer.session.session, closer.session.password, closer.session.zxid = session.session, session.password, 0
        closer.ask(Close(), lambda error, result: closer.stop())

    def stop(self) -> None:
        for announcer in self.announcers.values():
            announcer.stop()
