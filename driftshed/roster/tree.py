"""The store's tree of nodes: versions, ephemeral and sequential nodes, sessions, one-shot watches. Free of I/O and of
clocks: each change is one transaction with its own zxid, and replaying the same transactions builds the same tree."""

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

MAX_NODE_BYTES = 1 << 19
MAX_NODES = 1_000_000
MAX_WATCHES = 100_000  # of one session


class RequestError(Exception):
    """A request cannot be executed; `code` is the protocol's error code."""

    def __init__(self, code: int) -> None:
        """`code`: one of the error codes in `jute.py`."""
        super().__init__(code)
        self.code = code


class Node:
    """One node. `owner`: the session that an ephemeral node is deleted with, 0 for a permanent node."""

    __slots__ = ("data", "czxid", "mzxid", "ctime", "mtime", "version", "cversion", "owner", "children", "pzxid")

    def __init__(self, data: bytes, zxid: int, time: int, owner: int) -> None:
        """`zxid`, `time`: of the creating transaction; `time` in milliseconds."""
        self.data, self.czxid, self.mzxid, self.pzxid = data, zxid, zxid, zxid
        self.ctime = self.mtime = time
        self.version = self.cversion = 0
        self.owner = owner
        self.children: dict[str, None] = {}

    @property
    def stat(self) -> Stat:
        """The metadata as sent to clients."""
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
    """One session: its time-out in milliseconds, its ephemeral nodes, and the paths that its connection watches."""

    __slots__ = ("timeout", "password", "nodes", "data_watches", "child_watches")

    def __init__(self, timeout: int, password: bytes) -> None:
        """`password`: a client must send it to resume the session."""
        self.timeout, self.password = timeout, password
        self.nodes: dict[str, None] = {}
        self.data_watches: set[str] = set()  # paths watched for creation, change and deletion
        self.child_watches: set[str] = set()


class Outcome(NamedTuple):
    """Outcome of a request. `is_transaction`: it changed the tree and has to be logged."""

    error: int
    result: object
    events: list[tuple[int, Event]]  # by receiving session
    is_transaction: bool


def parent_of(path: str) -> str:
    """The path of the parent; the root is its own parent."""
    return path.rpartition("/")[0] or "/"


def check_path(path: str) -> None:
    """Raises RequestError unless the path is absolute, without empty, "." or ".." parts and without NUL."""
    if path == "/":
        return
    parts = path.split("/")
    if parts[0] or len(parts) < 2 or any(part in ("", ".", "..") for part in parts[1:]) or "\0" in path:
        raise RequestError(BAD_ARGUMENTS)


class Tree:
    """Nodes by path and sessions by number. Watch events are returned to the caller, which delivers them."""

    def __init__(self) -> None:
        """Starts with only the root node."""
        self.zxid = 0
        self.nodes: dict[str, Node] = {"/": Node(b"", 0, 0, 0)}
        self.sessions: dict[int, Session] = {}
        self.watches: dict[tuple[str, str], dict[int, None]] = {}  # by ("data" or "children", path): sessions

    # ---- sessions ---------------------------------------------------------------------------------------------

    def open_session(self, session: int, timeout: int, password: bytes) -> None:
        """Opens a session, as a transaction of its own. `timeout` in milliseconds."""
        self.zxid += 1
        self.sessions[session] = Session(timeout, password)

    def end_session(self, session: int) -> list[tuple[int, Event]]:
        """Ends a closed or expired session and deletes its ephemeral nodes, in one transaction."""
        session_state = self.sessions.get(session)
        if session_state is None:
            return []
        self.zxid += 1
        self.forget_watches(session)
        del self.sessions[session]
        events: list[tuple[int, Event]] = []
        for path in list(session_state.nodes):
            events += self._delete_node(path)
        return events

    def forget_watches(self, session: int) -> None:
        """Removes the watches of a session whose connection is lost: watches belong to the connection."""
        session_state = self.sessions.get(session)
        if session_state is None:
            return
        for kind, paths in (("data", session_state.data_watches), ("children", session_state.child_watches)):
            for path in paths:
                self._unwatch(kind, path, session)
            paths.clear()

    def _unwatch(self, kind: str, path: str, session: int) -> None:
        watchers = self.watches.get((kind, path))
        if watchers is not None:
            watchers.pop(session, None)
            if not watchers:
                del self.watches[kind, path]

    def _watch(self, kind: str, path: str, session: int) -> None:
        session_state = self.sessions[session]
        paths = session_state.data_watches if kind == "data" else session_state.child_watches
        if path not in paths and len(session_state.data_watches) + len(session_state.child_watches) >= MAX_WATCHES:
            raise RequestError(BAD_ARGUMENTS)
        paths.add(path)
        self.watches.setdefault((kind, path), {})[session] = None

    def _trigger(self, event: Event, *kinds: str) -> list[tuple[int, Event]]:
        """Triggers and removes the watches on the event's path. Each session gets one event, whichever matched."""
        notified: dict[int, None] = {}
        for kind in kinds:
            for session in self.watches.pop((kind, event.path), ()):
                session_state = self.sessions[session]
                (session_state.data_watches if kind == "data" else session_state.child_watches).discard(event.path)
                notified[session] = None
        return [(session, event) for session in notified]

    # ---- requests ---------------------------------------------------------------------------------------------

    def execute(self, session: int, request: Request, time: int) -> Outcome:
        """Executes a request of a session; `time` in milliseconds. A refused request changes nothing."""
        try:
            if isinstance(request, Multi):
                return self._execute_multi(session, request, time)
            if isinstance(request, Create | Delete | SetData):
                self._check_write(request)
                self.zxid += 1
                result, events = self._execute_write(session, request, time)
                return Outcome(OK, result, events, True)
            if isinstance(request, SetWatches):
                return Outcome(OK, None, self._set_watches(session, request), False)
            return Outcome(OK, self._execute_read(session, request), [], False)
        except RequestError as error:
            return Outcome(error.code, None, [], False)

    def _get_node(self, path: str) -> Node:
        node = self.nodes.get(path)
        if node is None:
            raise RequestError(NO_NODE)
        return node

    def _execute_read(self, session: int, request: Request) -> object:
        check_path(request.path)
        if isinstance(request, Sync):
            return request.path
        if isinstance(request, Check):
            self._check_write(request)
            return None
        if isinstance(request, Exists) and request.watch:
            self._watch("data", request.path, session)  # also for its creation
        node = self._get_node(request.path)
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
        raise RequestError(BAD_ARGUMENTS)

    def _created_path(self, request: Create) -> str:
        """The path that a create makes: for a sequential node the parent's `cversion` is appended."""
        if not request.flags & SEQUENTIAL:
            return request.path
        parent = self._get_node(parent_of(request.path))
        return f"{request.path}{parent.cversion:010d}"

    def _check_write(self, request: Request) -> None:
        """Raises RequestError if a write cannot be executed on the present tree."""
        if isinstance(request, Create) and request.flags & SEQUENTIAL and request.path.endswith("/"):
            check_path(request.path + "0")
        else:
            check_path(request.path)
        if isinstance(request, Create):
            if len(request.data) > MAX_NODE_BYTES or request.flags & ~(EPHEMERAL | SEQUENTIAL):
                raise RequestError(BAD_ARGUMENTS)
            if len(self.nodes) >= MAX_NODES:
                raise RequestError(BAD_ARGUMENTS)
            parent = self._get_node(parent_of(request.path))
            if self._created_path(request) in self.nodes:
                raise RequestError(NODE_EXISTS)
            if parent.owner:
                raise RequestError(EPHEMERAL_PARENT)
            return
        node = self._get_node(request.path)
        if request.version not in (ANY_VERSION, node.version):
            raise RequestError(BAD_VERSION)
        if isinstance(request, Delete):
            if request.path == "/":
                raise RequestError(BAD_ARGUMENTS)
            if node.children:
                raise RequestError(NOT_EMPTY)
        if isinstance(request, SetData) and len(request.data) > MAX_NODE_BYTES:
            raise RequestError(BAD_ARGUMENTS)

    def _execute_write(self, session: int, request: Request, time: int) -> tuple[object, list[tuple[int, Event]]]:
        """Executes a write that `_check_write` has accepted, under the present zxid."""
        if isinstance(request, Check):
            return None, []
        if isinstance(request, Delete):
            return None, self._delete_node(request.path)
        if isinstance(request, SetData):
            node = self.nodes[request.path]
            node.data, node.mzxid, node.mtime = request.data, self.zxid, time
            node.version += 1
            return node.stat, self._trigger(Event(CHANGED, CONNECTED, request.path), "data")
        path = self._created_path(request)
        owner = session if request.flags & EPHEMERAL else 0
        node = self.nodes[path] = Node(request.data, self.zxid, time, owner)
        if owner:
            self.sessions[session].nodes[path] = None
        self._update_parent(path, True)
        events = self._trigger(Event(CREATED, CONNECTED, path), "data")
        return (path, node.stat), events + self._trigger(Event(CHILDREN, CONNECTED, parent_of(path)), "children")

    def _update_parent(self, path: str, exists: bool) -> None:
        parent = self.nodes[parent_of(path)]
        name = path.rpartition("/")[2]
        if exists:
            parent.children[name] = None
        else:
            del parent.children[name]
        parent.cversion += 1
        parent.pzxid = self.zxid

    def _delete_node(self, path: str) -> list[tuple[int, Event]]:
        node = self.nodes.pop(path)
        if node.owner in self.sessions:
            del self.sessions[node.owner].nodes[path]
        self._update_parent(path, False)
        events = self._trigger(Event(DELETED, CONNECTED, path), "data", "children")
        return events + self._trigger(Event(CHILDREN, CONNECTED, parent_of(path)), "children")

    def _execute_multi(self, session: int, request: Multi, time: int) -> Outcome:
        """Executes all parts or none. Each part sees the effects of the parts before it: they are executed one by one
        and rolled back if one is refused."""
        rollback = _Rollback(self)
        self.zxid += 1
        results, events = [], []
        for k, part in enumerate(request.parts):
            try:
                self._check_write(part)
                rollback.save(part, self)
                result, part_events = self._execute_write(session, part, time)
                results.append(result)
                events.append(part_events)
            except RequestError as error:
                rollback.restore(self)
                errors = [OK] * k + [error.code] + [RUNTIME_INCONSISTENCY] * (len(request.parts) - k - 1)
                return Outcome(error.code, errors, [], False)
        return Outcome(OK, results, [each for part_events in events for each in part_events], True)

    def _set_watches(self, session: int, request: SetWatches) -> list[tuple[int, Event]]:
        """Sets watches again after a reconnect. For a path that changed since the newest change that the client has
        seen it returns the event instead."""
        events = []
        for paths, kind in ((request.data, "data"), (request.exist, "exist"), (request.children, "children")):
            for path in paths:
                node = self.nodes.get(path)
                if kind == "exist":
                    event_type = CREATED if node is not None else 0
                elif node is None:
                    event_type = DELETED
                elif kind == "data":
                    event_type = CHANGED if node.mzxid > request.zxid else 0
                else:
                    event_type = CHILDREN if node.pzxid > request.zxid else 0
                if event_type:
                    events.append((session, Event(event_type, CONNECTED, path)))
                else:
                    self._watch("children" if kind == "children" else "data", path, session)
        return events


class _Rollback:
    """Rollback of a multi: the previous state of the nodes that it touches and of the watches that it triggers."""

    def __init__(self, tree: Tree) -> None:
        self.zxid = tree.zxid
        self.nodes: dict[str, tuple | None] = {}
        self.watches: dict[tuple[str, str], dict[int, None]] = {}

    def save(self, part: Request, tree: Tree) -> None:
        path = tree._created_path(part) if isinstance(part, Create) else part.path
        for touched in (path, parent_of(path)):
            if touched not in self.nodes:
                node = tree.nodes.get(touched)
                state = None
                if node is not None:
                    state = node, {name: getattr(node, name) for name in Node.__slots__}, dict(node.children)
                self.nodes[touched] = state
            for kind in ("data", "children"):
                if (kind, touched) not in self.watches:
                    self.watches[kind, touched] = dict(tree.watches.get((kind, touched), {}))

    def restore(self, tree: Tree) -> None:
        tree.zxid = self.zxid
        for path, state in self.nodes.items():
            current = tree.nodes.pop(path, None)
            if current is not None and current.owner in tree.sessions:
                tree.sessions[current.owner].nodes.pop(path, None)
            if state is None:
                continue
            node, fields, children = state
            for name, value in fields.items():
                setattr(node, name, value)
            node.children = children
            tree.nodes[path] = node
            if node.owner in tree.sessions:
                tree.sessions[node.owner].nodes[path] = None
        for (kind, path), sessions in self.watches.items():
            if sessions:
                tree.watches[kind, path] = sessions
            for session in sessions:
                session_state = tree.sessions[session]
                (session_state.data_watches if kind == "data" else session_state.child_watches).add(path)
