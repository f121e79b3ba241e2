"""Cached folders of the store: children, their data and changes, kept current by watches. No I/O of its own: requests
are sent through a callback."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.roster.jute import CHANGED, CHILDREN, DELETED, NO_NODE, OK, Event, GetChildren, GetData, Request, Stat

SendRequest = Callable[[Request, Callable[[int, object], object]], object]


class Folder:
    """A folder whose children and their data are kept read.

    Callbacks: `on_update(name, data, stat)` for each child read, initially and after a change; `on_removed(name)`;
    `on_complete()` when every child of a listing has been read; `on_missing()` where the folder does not exist. Reads
    interrupted by a lost connection are repeated by the next `refresh`, which the owner calls whenever the session
    resumes."""

    def __init__(
        self,
        send: SendRequest,
        path: str,
        on_update: Callable[[str, bytes, Stat], object],
        on_removed: Callable[[str], object],
        on_complete: Callable[[], object] = lambda: None,
        on_missing: Callable[[], object] = lambda: None,
        watch_data: bool = True,
    ) -> None:
        """`send(request, then)` sends a request to the store; `watch_data`: whether to watch the children's data."""
        self.send, self.path, self.on_update, self.on_removed = send, path, on_update, on_removed
        self.on_complete, self.on_missing, self.watch_data = on_complete, on_missing, watch_data
        self.names: set[str] = set()  # children whose data has been read or requested
        self.pending_reads = self.pending_listings = 0
        self.listed = self.complete = False

    @property
    def current(self) -> bool:
        """Whether everything the store has notified so far has been read."""
        return self.complete and not self.pending_reads and not self.pending_listings

    def refresh(self) -> None:
        """Lists the folder, sets a watch on it and reads children that are new."""

        self.pending_listings += 1

        def on_reply(error: int, result: object) -> None:
            self.pending_listings -= 1
            if error == OK:
                self._apply_listing(set(result[0]))
            elif error == NO_NODE:
                self.on_missing()

        self.send(GetChildren(self.path, True), on_reply)

    def handle_event(self, event: Event) -> bool:
        """Handles a watch event; returns whether it concerned this folder."""
        if event.path == self.path:
            self.refresh()
            return True
        parent, _, name = event.path.rpartition("/")
        if parent != self.path or event.kind == CHILDREN:
            return False  # grandchildren belong to another folder
        if event.kind == CHANGED:
            self.read(name)
        elif event.kind == DELETED:
            self._remove(name)
        return True

    def _apply_listing(self, present: set[str]) -> None:
        self.listed = True
        for name in sorted(self.names - present):
            self._remove(name)
        for name in sorted(present - self.names):
            self.read(name)
        self._check_complete()

    def read(self, name: str) -> None:
        """Reads a child, also if it was read before."""
        self.names.add(name)
        self.pending_reads += 1

        def on_reply(error: int, result: object) -> None:
            self.pending_reads -= 1
            if error == OK:
                self.on_update(name, *result)
            elif error == NO_NODE:
                self._remove(name)
            else:
                # A failed read does not prove that the child is gone: only a new listing can.
                self.names.discard(name)
                self.listed = self.complete = False
            self._check_complete()

        self.send(GetData(f"{self.path}/{name}", self.watch_data), on_reply)

    def _remove(self, name: str) -> None:
        if name in self.names:
            self.names.discard(name)
            self.on_removed(name)

    def _check_complete(self) -> None:
        if not self.pending_reads and self.listed:
            self.complete = True
            self.on_complete()

    def mark_disconnected(self) -> None:
        """Handles a lost connection: cached data stays, but is incomplete until the folder has been listed again."""
        self.listed = self.complete = False

    def reset(self) -> None:
        """Handles a new session: no watches are set and no requests are pending."""
        self.names, self.pending_reads, self.pending_listings, self.listed, self.complete = set(), 0, 0, False, False


class ChildNames:
    """The names of a folder's children, without their data; `on_change()` after each listing. `missing`: the folder
    does not exist; no watch reports its creation, so the owner must call `refresh` again."""

    def __init__(self, send: SendRequest, path: str, on_change: Callable[[], object] = lambda: None) -> None:
        """`send(request, then)` sends a request to the store."""
        self.send, self.path, self.on_change = send, path, on_change
        self.names: frozenset[str] = frozenset()
        self.pending_listings, self.listed, self.missing = 0, False, False

    @property
    def current(self) -> bool:
        """Whether everything the store has notified of the folder so far has been read."""
        return self.listed and not self.pending_listings

    def refresh(self) -> None:
        """Lists the folder and sets a watch on it."""
        self.pending_listings += 1

        def on_reply(error: int, result: object) -> None:
            self.pending_listings -= 1
            if error in (OK, NO_NODE):
                self.listed, self.missing = True, error == NO_NODE
                self.names = frozenset(result[0] if error == OK else ())
                self.on_change()

        self.send(GetChildren(self.path, True), on_reply)

    def handle_event(self, event: Event) -> bool:
        """Handles a watch event; returns whether it concerned this folder."""
        if event.path != self.path:
            return False
        self.refresh()
        return True

    def mark_disconnected(self) -> None:
        """Handles a lost connection: the names stay, but are outdated until listed again."""
        self.listed = False

    def reset(self) -> None:
        """Handles a new session: no watch is set and no request is pending."""
        self.pending_listings, self.listed = 0, False
