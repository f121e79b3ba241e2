"""Follows the servers' nodes in a store and publishes them as roster updates to the supervisor's instance. Only changed
nodes are read again; `membership.py` decides what a change means for the list."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftshed.core.messages import RosterUpdate
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
from driftshed.roster.session import SessionState

BATCH_DELAY_S = 0.02  # changes within this time are published together
MAX_PENDING_READS = 512  # nodes that are read at a time


class RosterFollower:
    """Keeps a session with the store and watches the nodes under `root`. Opens a new session when one expires."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        membership: Membership,
        on_update: Callable[[RosterUpdate], object],
        log: Callable[..., object],
        seed: int,
        timeout: float = 6.0,
        dial: Callable[..., Stream] = dial,
    ) -> None:
        """`on_update(update)` receives the first full list and then the changes to it. `log(event, **fields)` is the
        supervisor's log. `timeout`: of the session, in seconds."""
        self.loop, self.hosts, self.root, self.zones, self.kinds = loop, hosts, root, zones, kinds
        self.membership, self.on_update, self.log, self.timeout = membership, on_update, log, timeout
        self.random, self.dial = Random(f"roster {seed}"), dial
        self.known_names: set[str] = set()  # names of nodes whose data is known, requested or queued to be read
        self.unread: dict[str, None] = {}  # those of them that are queued
        self.pending_reads = 0  # reads without an answer yet
        self.version, self.full_list_sent, self.stopped = 0, False, False
        self.nodes: dict = {}  # by name: the data read in this session
        self.full_read_due = True
        self.timer: Timer | None = None
        self.publish_due = False
        self.reads = 0
        self._open_session()

    def _open_session(self) -> None:
        """Starts a new session: no watch is set yet, and all nodes are read again."""
        self.known_names, self.nodes, self.full_read_due, self.pending_reads = set(), {}, True, 0
        self.unread.clear()
        self.client = RosterClient(
            self.loop, self.hosts, self.timeout, self.random, self._on_session_state, self._on_event, self.dial
        )

    def _on_session_state(self, state: SessionState) -> None:
        now = self.loop.clock()
        if state is SessionState.CONNECTED:
            self.log("roster_session", state="on", session=f"{self.client.session.session:x}")
            # Also where the session was resumed: its watch reports children that were created or deleted while it was
            # disconnected, but only a new read of the list shows that no node is missing.
            self.loop.soon(self._read_list)
        elif state in (SessionState.DISCONNECTED, SessionState.EXPIRED):
            self.membership.store_unreachable(now)
            self.log("roster_session", level="warning", state=state.value)
            if state is SessionState.EXPIRED and not self.stopped:
                self.loop.soon(self._open_session)
        self._schedule_publish()

    def _on_event(self, event: Event) -> None:
        if event.path == self.root:
            if event.kind in (CHILDREN, CREATED, DELETED):
                self._read_list()
            return
        name = event.path.rpartition("/")[2]
        if event.kind == CHANGED:
            self._queue_read(name)
        elif event.kind == DELETED:
            self._remove_node(name)

    # ---- reading ----------------------------------------------------------------------------------------------

    def _read_list(self) -> None:
        client = self.client

        def on_result(error: int, result: object) -> None:
            if client is not self.client:
                return
            if error == NO_NODE:
                client.send_request(
                    Exists(self.root, True), lambda error, _: self._read_list() if error == OK else None
                )
                self._update_names([])
            elif error == OK:
                self._update_names(result[0])

        client.send_request(GetChildren(self.root, True), on_result)

    def _update_names(self, names: list[str]) -> None:
        present = set(names)
        for name in sorted(self.known_names - present):
            self._remove_node(name)
        for name in sorted(present - self.known_names):
            self._queue_read(name)
        self._finish_read()

    def _remove_node(self, name: str) -> None:
        self.known_names.discard(name)
        self.unread.pop(name, None)
        self.nodes.pop(name, None)
        if not self.full_read_due:
            self.membership.node_removed(name, self.loop.clock())
            self._schedule_publish()

    def _queue_read(self, name: str) -> None:
        """Queues a node to be read. Guards against a list of more nodes than a session accepts requests: the excess
        requests were refused, and the list was published as complete without those nodes."""
        self.known_names.add(name)
        self.unread[name] = None
        self._start_reads()

    def _start_reads(self) -> None:
        while self.unread and self.pending_reads < MAX_PENDING_READS:
            name = next(iter(self.unread))
            del self.unread[name]
            self._read_node(name)

    def _read_node(self, name: str) -> None:
        self.pending_reads += 1
        self.reads += 1
        client = self.client

        def on_result(error: int, result: object) -> None:
            if client is not self.client:
                return
            self.pending_reads -= 1
            if error == NO_NODE:
                self._remove_node(name)
            elif error == OK:
                self._apply_node(name, result[0])
            else:
                self.known_names -= {name, *self.unread}  # connection lost: read again with the next list
                self.unread.clear()
            self._start_reads()
            self._finish_read()

        client.send_request(GetData(f"{self.root}/{name}", True), on_result)

    def _apply_node(self, name: str, data: bytes) -> None:
        try:
            node = read_node(name, data, self.zones, self.kinds)
        except BadNode as error:
            # Guards against one invalid node affecting others: it is logged, and its last valid data stays.
            self.log("bad_node", level="warning", why=str(error))
            return
        self.nodes[name] = node
        if not self.full_read_due:
            self.membership.node_updated(name, node, self.loop.clock())
            self._schedule_publish()

    def _finish_read(self) -> None:
        """Passes the nodes on once all of them have been read."""
        if self.pending_reads or self.unread or self.client.session.state is not SessionState.CONNECTED:
            return
        if self.full_read_due or self.membership.unreachable_since is not None:
            self.full_read_due = False
            self.membership.replace_nodes(dict(self.nodes), self.loop.clock())
            self._schedule_publish()

    # ---- publishing --------------------------------------------------------------------------------------------

    def record_answer(self, server: str) -> None:
        """Reports show that this server gave good answers."""
        self.membership.record_answer(server, self.loop.clock())

    def _schedule_publish(self) -> None:
        if not self.publish_due:
            self.publish_due = True
            self.loop.after(BATCH_DELAY_S, self._publish)

    def _publish(self) -> None:
        self.publish_due = False
        if self.full_read_due and not self.full_list_sent:
            return  # no complete read yet
        now = self.loop.clock()
        changes = self.membership.evaluate(now)
        if not self.membership.first_list_ready:
            due = self.membership.next_at(now)
            if due is not None:
                self.loop.at(due, self._schedule_publish)
            return
        for change in changes:
            self.log("listed", server=change.listed.server, state=change.listed.state, why=change.why)
        listed = [change.listed for change in changes]
        if listed or not self.full_list_sent:
            self.version += 1
            if not self.full_list_sent:
                listed = [each for each in listed if each.state != "gone"]
            self.on_update(RosterUpdate(self.version, not self.full_list_sent, listed))
            self.full_list_sent = True
        if self.timer:
            self.timer.cancel()
            self.timer = None
        due = self.membership.next_at(now)
        if due is not None:
            self.timer = self.loop.at(due, self._publish)

    def stop(self) -> None:
        """Ends the connection; the session expires at the store."""
        self.stopped = True
        self.client.stop()
