"""Following the nodes of a store: what they say becomes the list that the supervisor's instance hears. Only what
changed is read again; what a change means is `membership.py`'s to decide."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.core.messages import RosterNews
from driftshed.net.loop import Timer, Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import (
    CHANGED,
    CHILDREN,
    CREATED,
    DELETED,
    NO_NODE,
    OK,
    Event,
    Exists,
    GetChildren,
    GetData,
)
from driftshed.roster.membership import Membership
from driftshed.roster.nodes import BadNode, read_node
from driftshed.roster.session import State

TOGETHER = 0.02  # seconds: what comes within it is told together
MOST_READS = 512  # nodes that are read at a time


class RosterFollower:
    """`hear(news)` gets whole lists and their changes. `log(event, **fields)` as the supervisor's."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        membership: Membership,
        hear: Callable[[RosterNews], object],
        log: Callable[..., object],
        seed: int,
        timeout: float = 6.0,
        dial: Callable[..., Stream] = dial,
    ) -> None:
        self.loop, self.hosts, self.root, self.zones, self.kinds = loop, hosts, root, zones, kinds
        self.membership, self.hear, self.log, self.timeout = membership, hear, log, timeout
        self.random, self.dial = Random(f"roster {seed}"), dial
        self.names: set[str] = set()  # whose data is known, asked for, or next to be
        self.unread: dict[str, None] = {}  # of these, whose turn has not come
        self.reading = 0  # answers that the first list still waits for
        self.version, self.told_whole, self.stopped = 0, False, False
        self.nodes: dict = {}  # read of a list that is not yet whole
        self.whole_due = True
        self.timer: Timer | None = None
        self.turn_due = False
        self.reads = 0
        self._begin()

    def _begin(self) -> None:
        """A new session: nothing is watched, and all is read anew."""
        self.names, self.nodes, self.whole_due, self.reading = set(), {}, True, 0
        self.unread.clear()
        self.client = RosterClient(
            self.loop, self.hosts, self.timeout, self.random, self._state, self._event, self.dial
        )

    def _state(self, state: State) -> None:
        now = self.loop.clock()
        if state is State.ON:
            self.log("roster_session", state="on", session=f"{self.client.session.session:x}")
            # Also where the session went on: children that came or went while away are told by their watch, but until
            # the list has been read it is not known whether it is whole.
            self.loop.soon(self._list)
        elif state in (State.AWAY, State.EXPIRED):
            self.membership.store_unreachable(now)
            self.log("roster_session", level="warning", state=state.value)
            if state is State.EXPIRED and not self.stopped:
                self.loop.soon(self._begin)
        self._soon()

    def _event(self, event: Event) -> None:
        if event.path == self.root:
            if event.kind in (CHILDREN, CREATED, DELETED):
                self._list()
            return
        name = event.path.rpartition("/")[2]
        if event.kind == CHANGED:
            self._read(name)
        elif event.kind == DELETED:
            self._gone(name)

    # ---- reading ----------------------------------------------------------------------------------------------

    def _list(self) -> None:
        client = self.client

        def got(error: int, result: object) -> None:
            if client is not self.client:
                return
            if error == NO_NODE:
                client.ask(Exists(self.root, True), lambda error, _: self._list() if error == OK else None)
                self._names([])
            elif error == OK:
                self._names(result[0])

        client.ask(GetChildren(self.root, True), got)

    def _names(self, names: list[str]) -> None:
        there = set(names)
        for name in sorted(self.names - there):
            self._gone(name)
        for name in sorted(there - self.names):
            self._read(name)
        self._whole()

    def _gone(self, name: str) -> None:
        self.names.discard(name)
        self.unread.pop(name, None)
        self.nodes.pop(name, None)
        if not self.whole_due:
            self.membership.node_removed(name, self.loop.clock())
            self._soon()

    def _read(self, name: str) -> None:
        """Guards against a list of more nodes than a session takes requests: the rest was turned away, and the list was
        told as whole without it."""
        self.names.add(name)
        self.unread[name] = None
        self._read_on()

    def _read_on(self) -> None:
        while self.unread and self.reading < MOST_READS:
            name = next(iter(self.unread))
            del self.unread[name]
            self._ask_for(name)

    def _ask_for(self, name: str) -> None:
        self.reading += 1
        self.reads += 1
        client = self.client

        def got(error: int, result: object) -> None:
            if client is not self.client:
                return
            self.reading -= 1
            if error == NO_NODE:
                self._gone(name)
            elif error == OK:
                self._said(name, result[0])
            else:
                self.names -= {name, *self.unread}  # the connection was lost: they are read with the next list
                self.unread.clear()
            self._read_on()
            self._whole()

        client.ask(GetData(f"{self.root}/{name}", True), got)

    def _said(self, name: str, data: bytes) -> None:
        try:
            node = read_node(name, data, self.zones, self.kinds)
        except BadNode as error:
            # Guards against one bad node taking others with it: it is told, and what was known of it stays.
            self.log("bad_node", level="warning", why=str(error))
            return
        self.nodes[name] = node
        if not self.whole_due:
            self.membership.node_updated(name, node, self.loop.clock())
            self._soon()

    def _whole(self) -> None:
        """A list has been read to its end."""
        if self.reading or self.unread or self.client.session.state is not State.ON:
            return
        if self.whole_due or self.membership.away_since is not None:
            self.whole_due = False
            self.membership.replace_nodes(dict(self.nodes), self.loop.clock())
            self._soon()

    # ---- telling ----------------------------------------------------------------------------------------------

    def answered(self, server: str) -> None:
        """Reports have met this server giving good answers."""
        self.membership.record_answer(server, self.loop.clock())

    def _soon(self) -> None:
        if not self.turn_due:
            self.turn_due = True
            self.loop.after(TOGETHER, self._turn)

    def _turn(self) -> None:
        self.turn_due = False
        if self.whole_due and not self.told_whole:
            return  # no list has been read yet
        now = self.loop.clock()
        changes = self.membership.evaluate(now)
        if not self.membership.first_list_ready:
            due = self.membership.next_at(now)
            if due is not None:
                self.loop.at(due, self._soon)
            return
        for change in changes:
            self.log("listed", server=change.listed.server, state=change.listed.state, why=change.why)
        listed = [change.listed for change in changes]
        if listed or not self.told_whole:
            self.version += 1
            if not self.told_whole:
                listed = [each for each in listed if each.state != "gone"]
            self.hear(RosterNews(self.version, not self.told_whole, listed))
            self.told_whole = True
        if self.timer:
            self.timer.cancel()
            self.timer = None
        due = self.membership.next_at(now)
        if due is not None:
            self.timer = self.loop.at(due, self._turn)

    def stop(self) -> None:
        self.stopped = True
        self.client.stop()
