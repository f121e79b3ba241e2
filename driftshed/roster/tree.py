"""The tree of nodes that a store keeps: versions, ephemeral and sequential nodes, sessions, one-shot watches. Free of
I/O and of clocks: every change is one transaction with a zxid of its own, and the same transactions bring the same
tree."""

from __future__ import annotations

from typing import NamedTuple

from driftshed.roster.jute import (
    ANY_VERSION,
    BAD_ARGUMENTS,
    BAD_VERSION,
    CHANGED,
    CHILDREN,
    CONNECTED,
    CREATED,
    DELETED,
    EPHEMERAL,
    EPHEMERAL_PARENT,
    NO_NODE,
    NODE_EXISTS,
    NOT_EMPTY,
    OK,
    RUNTIME_INCONSISTENCY,
    SEQUENTIAL,
    Check,
    Create,
    Delete,
    Event,
    Exists,
    GetChildren,
    GetData,
    Multi,
    Request,
    SetData,
    SetWatches,
    Stat,
    Sync,
)

MOST_DATA = 1 << 19  # bytes of one node
MOST_NODES = 1_000_000
MOST_WATCHES = 100_000  # of one session


class Refusal(Exception):
    """A request that cannot be done; `code` is the protocol's."""

    def __init__(self, code: int) -> None:
        super().__init__(code)
        self.code = code


class Node:
    """One node; `owner`: the session that it ends with, 0 for none."""

    __slots__ = ("data", "czxid", "mzxid", "ctime", "mtime", "version", "cversion", "owner", "children", "pzxid")

    def __init__(self, data: bytes, zxid: int, time: int, owner: int) -> None:
        self.data, self.czxid, self.mzxid, self.pzxid = data, zxid, zxid, zxid
        self.ctime = self.mtime = time
        self.version = self.cversion = 0
        self.owner = owner
        self.children: dict[str, None] = {}

    @property
    def stat(self) -> Stat:
        return Stat(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            0,
            self.owner,
            len(self.data),
            len(self.children),
            self.pzxid,
        )


class Session:
    """One session: its time-out in milliseconds, its nodes, and what its connection watches."""

    __slots__ = ("timeout", "password", "nodes", "data", "children")

    def __init__(self, timeout: int, password: bytes) -> None:
        self.timeout, self.password = timeout, password
        self.nodes: dict[str, None] = {}
        self.data: set[str] = set()  # paths whose node, or its coming, is watched
        self.children: set[str] = set()


class Done(NamedTuple):
    """What came of a request. `wrote`: it was a transaction, and belongs in the log."""

    error: int
    result: object
    events: list[tuple[int, Event]]  # to which session
    wrote: bool


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


def check_path(path: str) -> None:
    """Refusal where a path is none: absolute, no empty, "." or ".." part, no NUL."""
    if path == "/":
        return
    parts = path.split("/")
    if parts[0] or len(parts) < 2 or any(part in ("", ".", "..") for part in parts[1:]) or "\0" in path:
        raise Refusal(BAD_ARGUMENTS)


class Tree:
    def __init__(self) -> None:
        self.zxid = 0
        self.nodes: dict[str, Node] = {"/": Node(b"", 0, 0, 0)}
        self.sessions: dict[int, Session] = {}
        self.watching: dict[tuple[str, str], dict[int, None]] = {}  # by ("data" or "children", path): sessions

    # ---- sessions ---------------------------------------------------------------------------------------------

    def open(self, session: int, timeout: int, password: bytes) -> None:
        self.zxid += 1
        self.sessions[session] = Session(timeout, password)

    def end(self, session: int) -> list[tuple[int, Event]]:
        """A session is closed or has expired: its nodes go with it, in one transaction."""
        ended = self.sessions.get(session)
        if ended is None:
            return []
        self.zxid += 1
        self.forget_watches(session)
        del self.sessions[session]
        events: list[tuple[int, Event]] = []
        for path in list(ended.nodes):
            events += self._remove(path)
        return events

    def forget_watches(self, session: int) -> None:
        """Its connection is lost: watches are of a connection."""
        held = self.sessions.get(session)
        if held is None:
            return
        for kind, paths in (("data", held.data), ("children", held.children)):
            for path in paths:
                self._unwatch(kind, path, session)
            paths.clear()

    def _unwatch(self, kind: str, path: str, session: int) -> None:
        watchers = self.watching.get((kind, path))
        if watchers is not None:
            watchers.pop(session, None)
            if not watchers:
                del self.watching[kind, path]

    def _watch(self, kind: str, path: str, session: int) -> None:
        held = self.sessions[session]
        paths = held.data if kind == "data" else held.children
        if path not in paths and len(held.data) + len(held.children) >= MOST_WATCHES:
            raise Refusal(BAD_ARGUMENTS)
        paths.add(path)
        self.watching.setdefault((kind, path), {})[session] = None

    def _fire(self, event: Event, *kinds: str) -> list[tuple[int, Event]]:
        """Who watches for it is told once, whichever of its watches it was, and watches no more."""
        told: dict[int, None] = {}
        for kind in kinds:
            for session in self.watching.pop((kind, event.path), ()):
                held = self.sessions[session]
                (held.data if kind == "data" else held.children).discard(event.path)
                told[session] = None
        return [(session, event) for session in told]

    # ---- requests ---------------------------------------------------------------------------------------------

    def do(self, session: int, request: Request, time: int) -> Done:
        """One request of a session, at a time in milliseconds. A refused one changes nothing."""
        try:
            if isinstance(request, Multi):
                return self._multi(session, request, time)
            if isinstance(request, Create | Delete | SetData):
                self._may(request)
                self.zxid += 1
                result, events = self._write(session, request, time)
                return Done(OK, result, events, True)
            if isinstance(request, SetWatches):
                return Done(OK, None, self._set_watches(session, request), False)
            return Done(OK, self._read(session, request), [], False)
        except Refusal as refusal:
            return Done(refusal.code, None, [], False)

    def _node(self, path: str) -> Node:
        node = self.nodes.get(path)
        if node is None:
            raise Refusal(NO_NODE)
        return node

    def _read(self, session: int, request: Request) -> object:
        check_path(request.path)
        if isinstance(request, Sync):
            return request.path
        if isinstance(request, Check):
            self._may(request)
            return None
        if isinstance(request, Exists) and request.watch:
            self._watch("data", request.path, session)  # for its coming, too
        node = self._node(request.path)
        if isinstance(request, Exists):
            return node.stat
        if isinstance(request, GetData):
            if request.watch:
                self._watch("data", request.path, session)
            return node.data, node.stat
        if isinstance(request, GetChildren):
            if request.watch:
                self._watch("children", request.path, session)
            return sorted(node.children), node.stat if request.stat else None
        raise Refusal(BAD_ARGUMENTS)

    def _name(self, request: Create) -> str:
        """The path that a create makes: a sequential one has the count of its parent's changes behind it."""
        if not request.flags & SEQUENTIAL:
            return request.path
        parent = self._node(parent_of(request.path))
        return f"{request.path}{parent.cversion:010d}"

    def _may(self, request: Request) -> None:
        """Refusal where a write cannot be done as things stand."""
        if isinstance(request, Create) and request.flags & SEQUENTIAL and request.path.endswith("/"):
            check_path(request.path + "0")
        else:
            check_path(request.path)
        if isinstance(request, Create):
            if len(request.data) > MOST_DATA or request.flags & ~(EPHEMERAL | SEQUENTIAL):
                raise Refusal(BAD_ARGUMENTS)
            if len(self.nodes) >= MOST_NODES:
                raise Refusal(BAD_ARGUMENTS)
            parent = self._node(parent_of(request.path))
            if self._name(request) in self.nodes:
                raise Refusal(NODE_EXISTS)
            if parent.owner:
                raise Refusal(EPHEMERAL_PARENT)
            return
        node = self._node(request.path)
        if request.version not in (ANY_VERSION, node.version):
            raise Refusal(BAD_VERSION)
        if isinstance(request, Delete):
            if request.path == "/":
                raise Refusal(BAD_ARGUMENTS)
            if node.children:
                raise Refusal(NOT_EMPTY)
        if isinstance(request, SetData) and len(request.data) > MOST_DATA:
            raise Refusal(BAD_ARGUMENTS)

    def _write(self, session: int, request: Request, time: int) -> tuple[object, list[tuple[int, Event]]]:
        """Does what `_may` has allowed, under the present zxid."""
        if isinstance(request, Check):
            return None, []
        if isinstance(request, Delete):
            return None, self._remove(request.path)
        if isinstance(request, SetData):
            node = self.nodes[request.path]
            node.data, node.mzxid, node.mtime = request.data, self.zxid, time
            node.version += 1
            return node.stat, self._fire(Event(CHANGED, CONNECTED, request.path), "data")
        path = self._name(request)
        owner = session if request.flags & EPHEMERAL else 0
        node = self.nodes[path] = Node(request.data, self.zxid, time, owner)
        if owner:
            self.sessions[session].nodes[path] = None
        self._changed(path, True)
        events = self._fire(Event(CREATED, CONNECTED, path), "data")
        return (path, node.stat), events + self._fire(Event(CHILDREN, CONNECTED, parent_of(path)), "children")

    def _changed(self, path: str, there: bool) -> None:
        parent = self.nodes[parent_of(path)]
        name = path.rpartition("/")[2]
        if there:
            parent.children[name] = None
        else:
            del parent.children[name]
        parent.cversion += 1
        parent.pzxid = self.zxid

    def _remove(self, path: str) -> list[tuple[int, Event]]:
        node = self.nodes.pop(path)
        if node.owner in self.sessions:
            del self.sessions[node.owner].nodes[path]
        self._changed(path, False)
        events = self._fire(Event(DELETED, CONNECTED, path), "data", "children")
        return events + self._fire(Event(CHILDREN, CONNECTED, parent_of(path)), "children")

    def _multi(self, session: int, request: Multi, time: int) -> Done:
        """All parts or none. What went before in the same transaction counts for what follows: they are done one by
        one on what can be taken back."""
        undo = _Undo(self)
        self.zxid += 1
        results, events = [], []
        for k, part in enumerate(request.parts):
            try:
                self._may(part)
                undo.keep(part, self)
                result, told = self._write(session, part, time)
                results.append(result)
                events.append(told)
            except Refusal as refusal:
                undo.back(self)
                errors = [OK] * k + [refusal.code] + [RUNTIME_INCONSISTENCY] * (len(request.parts) - k - 1)
                return Done(refusal.code, errors, [], False)
        return Done(OK, results, [each for told in events for each in told], True)

    def _set_watches(self, session: int, request: SetWatches) -> list[tuple[int, Event]]:
        """What changed since the newest change that the client has seen is told at once, the rest is watched."""
        events = []
        for paths, kind in ((request.data, "data"), (request.exist, "exist"), (request.children, "children")):
            for path in paths:
                node = self.nodes.get(path)
                if kind == "exist":
                    happened = CREATED if node is not None else 0
                elif node is None:
                    happened = DELETED
                elif kind == "data":
                    happened = CHANGED if node.mzxid > request.zxid else 0
                else:
                    happened = CHILDREN if node.pzxid > request.zxid else 0
                if happened:
                    events.append((session, Event(happened, CONNECTED, path)))
                else:
                    self._watch("children" if kind == "children" else "data", path, session)
        return events


class _Undo:
    """What a multi needs to be taken back: the nodes that it touched and the watches that it fired, as they were."""

    def __init__(self, tree: Tree) -> None:
        self.zxid = tree.zxid
        self.nodes: dict[str, tuple | None] = {}
        self.watching: dict[tuple[str, str], dict[int, None]] = {}

    def keep(self, part: Request, tree: Tree) -> None:
        path = tree._name(part) if isinstance(part, Create) else part.path
        for touched in (path, parent_of(path)):
            if touched not in self.nodes:
                node = tree.nodes.get(touched)
                state = None
                if node is not None:
                    state = node, {name: getattr(node, name) for name in Node.__slots__}, dict(node.children)
                self.nodes[touched] = state
            for kind in ("data", "children"):
                if (kind, touched) not in self.watching:
                    self.watching[kind, touched] = dict(tree.watching.get((kind, touched), {}))

    def back(self, tree: Tree) -> None:
        tree.zxid = self.zxid
        for path, state in self.nodes.items():
            now = tree.nodes.pop(path, None)
            if now is not None and now.owner in tree.sessions:
                tree.sessions[now.owner].nodes.pop(path, None)
            if state is None:
                continue
            node, fields, children = state
            for name, value in fields.items():
                setattr(node, name, value)
            node.children = children
            tree.nodes[path] = node
            if node.owner in tree.sessions:
                tree.sessions[node.owner].nodes[path] = None
        for (kind, path), sessions in self.watching.items():
            if sessions:
                tree.watching[kind, path] = sessions
            for session in sessions:
                held = tree.sessions[session]
                (held.data if kind == "data" else held.children).add(path)
