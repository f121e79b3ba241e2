"""Keeping a folder of a store's nodes read: its children, their data, and what changes. Without I/O of its own: it asks
by the function that it is given."""

from __future__ import annotations

from collections.abc import Callable

from driftshed.roster.jute import CHANGED, CHILDREN, DELETED, NO_NODE, OK, Event, GetChildren, GetData, Request, Stat

Ask = Callable[[Request, Callable[[int, object], object]], object]


class Folder:
    """`on_child(name, data, stat)` for each child that was read, at first and when it has changed; `on_gone(name)`;
    `on_whole()` when a list has been read to its end; `on_missing()` where the folder is not there. Whatever a lost
    connection leaves open is read with the next `begin`, which is due whenever the session goes on."""

    def __init__(
        self,
        ask: Ask,
        path: str,
        on_child: Callable[[str, bytes, Stat], object],
        on_gone: Callable[[str], object],
        on_whole: Callable[[], object] = lambda: None,
        on_missing: Callable[[], object] = lambda: None,
        changing: bool = True,
    ) -> None:
        self.ask, self.path, self.on_child, self.on_gone = ask, path, on_child, on_gone
        self.on_whole, self.on_missing, self.changing = on_whole, on_missing, changing
        self.names: set[str] = set()  # whose data is known or asked for
        self.reading = self.listing = 0
        self.listed = self.whole = False

    @property
    def current(self) -> bool:
        """Whether all that the store has told of it so far has been read."""
        return self.whole and not self.reading and not self.listing

    def begin(self) -> None:
        """Lists the folder, and reads whom it does not know."""

        self.listing += 1

        def got(error: int, result: object) -> None:
            self.listing -= 1
            if error == OK:
                self._listed(set(result[0]))
            elif error == NO_NODE:
                self.on_missing()

        self.ask(GetChildren(self.path, True), got)

    def heard(self, event: Event) -> bool:
        """Whether a watch's event was this folder's."""
        if event.path == self.path:
            self.begin()
            return True
        parent, _, name = event.path.rpartition("/")
        if parent != self.path or event.kind == CHILDREN:
            return False  # a child's own children are another folder's
        if event.kind == CHANGED:
            self.read(name)
        elif event.kind == DELETED:
            self._gone(name)
        return True

    def _listed(self, there: set[str]) -> None:
        self.listed = True
        for name in sorted(self.names - there):
            self._gone(name)
        for name in sorted(there - self.names):
            self.read(name)
        self._look_whole()

    def read(self, name: str) -> None:
        """Reads a child, again if it was read before."""
        self.names.add(name)
        self.reading += 1

        def got(error: int, result: object) -> None:
            self.reading -= 1
            if error == OK:
                self.on_child(name, *result)
            elif error == NO_NODE:
                self._gone(name)
            else:
                # Guards against taking one that could not be read for one that is gone: only a new list can tell.
                self.names.discard(name)
                self.listed = self.whole = False
            self._look_whole()

        self.ask(GetData(f"{self.path}/{name}", self.changing), got)

    def _gone(self, name: str) -> None:
        if name in self.names:
            self.names.discard(name)
            self.on_gone(name)

    def _look_whole(self) -> None:
        if not self.reading and self.listed:
            self.whole = True
            self.on_whole()

    def away(self) -> None:
        """The connection is lost: what is known stays, and is not known to be all until it has been listed again."""
        self.listed = self.whole = False

    def forget(self) -> None:
        """A new session: nothing is watched, and nothing is under way."""
        self.names, self.reading, self.listing, self.listed, self.whole = set(), 0, 0, False, False


class Names:
    """Keeping the names of a folder's nodes read, and nothing of their data. `on_change()` when they were read anew.
    `current`: whether all that the store has told of the folder so far has been read; `unmade`: the folder is not
    there, and as nobody tells when it comes it is to be asked for again."""

    def __init__(self, ask: Ask, path: str, on_change: Callable[[], object] = lambda: None) -> None:
        self.ask, self.path, self.on_change = ask, path, on_change
        self.names: frozenset[str] = frozenset()
        self.listing, self.listed, self.unmade = 0, False, False

    @property
    def current(self) -> bool:
        return self.listed and not self.listing

    def begin(self) -> None:
        self.listing += 1

        def got(error: int, result: object) -> None:
            self.listing -= 1
            if error in (OK, NO_NODE):
                self.listed, self.unmade = True, error == NO_NODE
                self.names = frozenset(result[0] if error == OK else ())
                self.on_change()

        self.ask(GetChildren(self.path, True), got)

    def heard(self, event: Event) -> bool:
        if event.path != self.path:
            return False
        self.begin()
        return True

    def away(self) -> None:
        self.listed = False

    def forget(self) -> None:
        self.listing, self.listed = 0, False
