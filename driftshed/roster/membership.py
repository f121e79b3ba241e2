"""Decides which servers are listed, from the data of their nodes and from when nodes are removed. Free of I/O and of
clocks: callers pass in events and times, and `evaluate` returns the changes since the last listing. The rules are
specified in docs/roster.md.

A node with state "draining" or "gone" takes effect at once. A node that is removed without such a state is only
evidence: its session lapsed, which a dead server, a paused server, a network fault and a store fault all cause."""

from __future__ import annotations

from typing import NamedTuple

from driftshed.core.messages import ListedServer

MASS_LAPSE_SHARE = 0.25  # of the ready servers: so many lapses within one hold are a store fault, not server faults
MIN_MASS_LAPSE_SERVERS = 3  # fewer lapses are never a mass lapse
FIRST_LIST_QUIET_SHARE = 0.125  # of the hold without a new server, after which the first list counts as complete


class ServerAnnouncement(NamedTuple):
    """The data of a server's node. `epoch` increases with each start of a server at one address."""

    server: str
    zone: str
    kind: str
    state: str  # "ready", "draining" or "gone"
    started: float | None  # unix time
    cell: int
    weight: float
    epoch: int


class ListChange(NamedTuple):
    """A change of the list for one server, and the reason for it."""

    listed: ListedServer
    why: str


class Membership:
    """The list of servers, computed from their nodes. All times are seconds on the caller's clock."""

    def __init__(self, lapse_hold_s: float, max_list_hold_s: float) -> None:
        """`lapse_hold_s`: how long a server whose node was removed stays listed while it still answers requests;
        `max_list_hold_s`: how long the list is held at most after a mass lapse."""
        self.lapse_hold_s, self.max_list_hold_s = lapse_hold_s, max_list_hold_s
        self.nodes: dict[str, ServerAnnouncement] = {}  # by path
        self.index_of: dict[str, int] = {}  # by server: its position in the lists below
        self.servers: list[str] = []
        self.announced: list[ServerAnnouncement | None] = []  # by server: the data with the highest epoch
        self.paths: list[str] = []  # node that holds this data; "" once it is removed
        self.lapsed_at: list[float] = []  # when that node was removed; inf while it exists
        self.answered_at: list[float] = []
        self.listed: list[ListedServer | None] = []
        self.unreachable_since: float | None = None  # since when the store is unreachable
        self.mass_lapse_since: float | None = None
        self.first_read_at: float | None = None  # when the nodes were first read completely
        self.last_new_server_at = 0.0  # when a server was last seen for the first time
        self.first_list_ready = False

    # ---- events ------------------------------------------------------------------------------------------------

    def node_updated(self, path: str, node: ServerAnnouncement, now: float) -> None:
        """A node was created, or its data changed."""
        self.nodes[path] = node
        i = self.index_of.get(node.server)
        if i is None:
            self.last_new_server_at = now
            i = self.index_of[node.server] = len(self.servers)
            self.servers.append(node.server)
            self.announced.append(None)
            self.paths.append("")
            self.lapsed_at.append(float("inf"))
            self.answered_at.append(float("-inf"))
            self.listed.append(None)
        current = self.announced[i]
        # Guards against an older process that resumes after a pause, or whose node has not lapsed yet: the node with
        # the higher epoch owns the address.
        if current is not None and node.epoch < current.epoch:
            return
        self.announced[i], self.paths[i], self.lapsed_at[i] = node, path, float("inf")

    def node_removed(self, path: str, now: float) -> None:
        """A node was removed."""
        node = self.nodes.pop(path, None)
        i = self.index_of.get(node.server) if node is not None else None
        if i is None or self.paths[i] != path:
            return  # a newer node owns the address
        self.paths[i] = ""
        self.lapsed_at[i] = now

    def replace_nodes(self, nodes: dict[str, ServerAnnouncement], now: float) -> None:
        """Applies a complete read of the store's nodes, by path: nodes missing from it count as removed. Guards against
        a store that came back with fewer nodes than before: each missing node is a lapse like any other, and many at
        once are a mass lapse."""
        self.unreachable_since = None
        self.first_read_at = now if self.first_read_at is None else self.first_read_at
        for path in [path for path in self.nodes if path not in nodes]:
            self.node_removed(path, now)
        for path, node in nodes.items():
            self.node_updated(path, node, now)

    def store_unreachable(self, now: float) -> None:
        """The store does not answer, or the session with it has expired: the list is held until the next complete
        read."""
        self.unreachable_since = now if self.unreachable_since is None else self.unreachable_since

    def record_answer(self, server: str, now: float) -> None:
        """Reports show that this server gave good answers."""
        i = self.index_of.get(server)
        if i is not None:
            self.answered_at[i] = now

    # ---- decisions ---------------------------------------------------------------------------------------------

    def next_at(self, now: float) -> float | None:
        """When `evaluate` is due even without an event; None if it is not."""
        if not self.first_list_ready:
            return self._first_list_at()
        due = [at + self.lapse_hold_s for at in self.lapsed_at if at < float("inf")]
        if self.mass_lapse_since is not None:
            due.append(self.mass_lapse_since + self.max_list_hold_s)
        return min((at for at in due if at > now), default=None)

    def _first_list_at(self) -> float | None:
        """When the first list may be published; None before the first complete read. Guards against a first list of
        only the few fastest servers where all start together: the module lays out its tables by that list. It is
        published once no new server has appeared for a while, and after the hold at the latest."""
        if self.first_read_at is None:
            return None
        return min(
            max(self.first_read_at, self.last_new_server_at) + FIRST_LIST_QUIET_SHARE * self.lapse_hold_s,
            self.first_read_at + self.lapse_hold_s,
        )

    def _target_entries(self, now: float) -> list[tuple[ListedServer | None, str]]:
        """For each server the entry that should be listed, None for no entry, and the reason."""
        ready = [i for i, listed in enumerate(self.listed) if listed is not None and self._is_ready(i)]
        lapsed = [i for i in ready if self.lapsed_at[i] < float("inf")]
        recently_lapsed = sum(now - self.lapsed_at[i] <= self.lapse_hold_s for i in lapsed)
        # Guards against a fault of the store or of the network to it: emptying every table would be worse than holding
        # the last list, from which the module still withdraws servers that do not answer.
        # A mass lapse ends when all its servers are back or have been delisted after `max_list_hold_s`: the last few to
        # come back do not count as separate lapses.
        if self.mass_lapse_since is None and recently_lapsed >= max(
            MIN_MASS_LAPSE_SERVERS, MASS_LAPSE_SHARE * len(ready)
        ):
            self.mass_lapse_since = now
        elif not lapsed:
            self.mass_lapse_since = None
        mass_lapse_held = self.mass_lapse_since is not None and now - self.mass_lapse_since < self.max_list_hold_s
        rows: list[tuple[ListedServer | None, str]] = []
        for i, node in enumerate(self.announced):
            if node is None:
                rows.append((None, ""))
            elif node.state == "gone":
                rows.append((None, "its node has state gone"))
            elif self.lapsed_at[i] == float("inf"):
                rows.append((self._entry(node), f"its node has state {node.state}"))
            elif self.listed[i] is None:
                rows.append((None, ""))  # a server off the list is not held: its node has to come back first
            elif node.state == "draining":
                rows.append((None, "it was draining, and its node was removed"))
            elif mass_lapse_held:
                rows.append((self._entry(node), "held: many nodes vanished at once"))
            elif self.unreachable_since is not None:
                rows.append((self._entry(node), "held: the store is unreachable"))
            elif now - self.lapsed_at[i] < self.lapse_hold_s and self._is_answering(i, now):
                rows.append((self._entry(node), "held: its node was removed, but it still answers"))
            else:
                rows.append((None, "its node was removed"))
        return rows

    def _is_ready(self, i: int) -> bool:
        return self.announced[i] is not None and self.announced[i].state == "ready"

    def _is_answering(self, i: int, now: float) -> bool:
        """Whether the server answered recently, at the earliest half a hold before its node was removed."""
        return (
            self.answered_at[i] >= self.lapsed_at[i] - self.lapse_hold_s / 2
            and now - self.answered_at[i] <= self.lapse_hold_s / 2
        )

    @staticmethod
    def _entry(node: ServerAnnouncement) -> ListedServer:
        return ListedServer(node.server, node.zone, node.kind, node.state, node.started, node.cell, node.weight)

    def evaluate(self, now: float) -> list[ListChange]:
        """Updates the list and returns what changed; returns nothing until the first list is complete."""
        first_list_at = self._first_list_at()
        self.first_list_ready |= first_list_at is not None and now >= first_list_at
        if not self.first_list_ready:
            return []
        changes = []
        for i, (target, why) in enumerate(self._target_entries(now)):
            current = self.listed[i]
            if target == current:
                continue
            self.listed[i] = target
            if target is not None:
                changes.append(ListChange(target, why))
            else:
                gone = ListedServer(current.server, current.zone, current.kind, "gone", None, current.cell)
                changes.append(ListChange(gone, why))
        self._drop_unlisted(now)
        return changes

    def _drop_unlisted(self, now: float) -> None:
        """Guards against lists that grow with every address ever seen."""
        unlisted = [i for i, each in enumerate(self.listed) if each is None and not self.paths[i]]
        if len(unlisted) < 64 + len(self.servers) // 2:
            return
        retained = [i for i in range(len(self.servers)) if i not in set(unlisted)]
        for column in (self.servers, self.announced, self.paths, self.lapsed_at, self.answered_at, self.listed):
            column[:] = [column[i] for i in retained]
        self.index_of = {server: i for i, server in enumerate(self.servers)}
