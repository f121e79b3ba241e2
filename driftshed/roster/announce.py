"""Announcing a server: joins, drains, leaves and comes back, fenced by epochs.

Each start takes the next epoch of its address by a set that names the version it has read: two that start at once
cannot both have it. A process that wakes from a pause finds its session expired; it announces itself again only if no
other start has taken an epoch since, else it is fenced and stays silent."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random

from driftshed.net.loop import Timers
from driftshed.net.stream import Stream, dial
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import (
    BAD_VERSION,
    CONNECTION_LOSS,
    EPHEMERAL,
    EXPIRED,
    NO_NODE,
    NODE_EXISTS,
    OK,
    Close,
    Create,
    Event,
    GetData,
    SetData,
)
from driftshed.roster.membership import Announced
from driftshed.roster.nodes import write_node
from driftshed.roster.session import State

AGAIN = 0.5  # seconds after an answer that leaves open what happened


class Standing(Enum):
    JOINING = "joining"
    LISTED = "listed"
    FENCED = "fenced"  # another start holds the address: this one announces nothing more
    LEFT = "left"


class Announcer:
    """`node` says who; its epoch is set here. `on_standing(standing)` tells what became of it."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        node: Announced,
        timeout: float,
        seed: int,
        on_standing: Callable[[Standing], object] = lambda standing: None,
        dial: Callable[..., Stream] = dial,
    ) -> None:
        self.loop, self.hosts, self.root, self.node, self.timeout = loop, hosts, root, node, timeout
        self.random, self.on_standing, self.dial = Random(f"announce {seed}"), on_standing, dial
        self.standing = Standing.JOINING
        self.epoch = 0  # none taken yet
        self.unsaid: Callable[[], object] | None = None  # whom to tell once the store has the last word
        self.counter = f"{root}-epochs/{self.name}"
        self._begin()

    @property
    def name(self) -> str:
        """What is announced: one node of this name for each epoch."""
        return self.node.server

    def data(self) -> bytes:
        """What its node holds."""
        return write_node(self.node._replace(epoch=self.epoch))

    def _begin(self) -> None:
        self.client = RosterClient(
            self.loop, self.hosts, self.timeout, self.random, self._state, self._event, self.dial
        )
        self._take_epoch()

    def _event(self, event: Event) -> None:
        """It watches nothing."""

    def _state(self, state: State) -> None:
        if state is State.EXPIRED and self.standing not in (Standing.FENCED, Standing.LEFT):
            self._stand(Standing.JOINING)
            self.loop.soon(self._begin)

    def _stand(self, standing: Standing) -> None:
        if standing is not self.standing:
            self.standing = standing
            self.on_standing(standing)
            if standing is Standing.LISTED:
                self._say()

    def _ask(self, request: object, then: Callable[[int, object], object]) -> None:
        client = self.client

        def done(error: int, result: object) -> None:
            if client is self.client and self.standing not in (Standing.FENCED, Standing.LEFT) and error != EXPIRED:
                then(error, result)

        client.ask(request, done)

    def _later(self, call: Callable[[], object]) -> None:
        client = self.client
        self.loop.after(AGAIN, lambda: call() if client is self.client else None)

    # ---- joining ----------------------------------------------------------------------------------------------

    def _take_epoch(self) -> None:
        """Reads the count of starts, then raises it from just that."""

        def read(error: int, result: object) -> None:
            if error == NO_NODE:
                self._make_counter()
            elif error != OK:
                self._later(self._take_epoch)
            elif self.epoch and result[1].version != self.epoch:
                self.fence()
            elif self.epoch:
                self._join()  # nobody has started since
            else:
                self._ask(SetData(self.counter, b"", result[1].version), took)

        def took(error: int, result: object) -> None:
            if error == OK:
                self.epoch = result.version
                self._join()
            elif error == BAD_VERSION:
                self._take_epoch()  # another one was quicker
            else:
                # Guards against an epoch taken unseen: whether or not it was ours, a higher one is free.
                self._later(self._take_epoch)

        self._ask(GetData(self.counter), read)

    def _make_counter(self) -> None:
        """Makes the folders and the counter; that another one made them meanwhile is as good. The counter comes last:
        with it there and no folder, after a connection lost in between, nobody would make the folder any more."""
        paths = []
        for path in (self.root, self.counter):
            parts = path.split("/")[1:]
            paths += ["/" + "/".join(parts[: k + 1]) for k in range(len(parts))]

        def make(k: int) -> None:
            def made(error: int, result: object) -> None:
                if error not in (OK, NODE_EXISTS):
                    self._later(self._take_epoch)
                elif k + 1 < len(paths):
                    make(k + 1)
                else:
                    self._take_epoch()

            self._ask(Create(paths[k], b""), made)

        make(0)

    @property
    def path(self) -> str:
        return f"{self.root}/{self.name}~{self.epoch}"

    def _join(self) -> None:
        def made(error: int, result: object) -> None:
            if error == OK:
                self._stand(Standing.LISTED)
            elif error == NODE_EXISTS:
                self._mine()
            elif error == CONNECTION_LOSS:
                self._later(self._join)
            else:
                self._later(self._take_epoch)

        self._ask(Create(self.path, self.data(), EPHEMERAL), made)

    def _mine(self) -> None:
        """A node of our epoch is there: made by us before an answer got lost, or by our last session."""

        def read(error: int, result: object) -> None:
            if error == OK and result[1].ephemeral_owner == self.client.session.session:
                self._stand(Standing.LISTED)
            else:
                self._later(self._join)

        self._ask(GetData(self.path), read)

    # ---- going ------------------------------------------------------------------------------------------------

    def fence(self) -> None:
        """Another start holds the name: nothing more is announced or asked, and the session ends if it can."""
        self._stand(Standing.FENCED)
        self.client.ask(Close(), lambda error, result: None)
        self.client.stop()

    def say(self, state: str, then: Callable[[], object] = lambda: None) -> None:
        """Says "draining", "gone" or "ready"; `then()` once the store has it. A word binds at once."""
        self.node, self.unsaid = self.node._replace(state=state), then
        self._say()

    def _say(self) -> None:
        """Writes the last word, if the store is not known to have it.

        Guards against a word that ends with its session: whoever said it would wait for ever. It is said again once
        this start is listed anew."""
        then = self.unsaid
        if then is None or self.standing is not Standing.LISTED:
            return

        def said(error: int, result: object) -> None:
            if self.unsaid is not then:
                return  # a later word is under way
            if error == OK:
                self.unsaid = None
                then()
            elif error == NO_NODE:  # somebody took it away
                self._stand(Standing.JOINING)
                self._join()
            else:
                self._later(self._say)

        self._ask(SetData(self.path, self.data()), said)

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        """Says that it is gone, and ends the session."""
        self.say("gone", lambda: self.close(then))

    def close(self, then: Callable[[], object] = lambda: None) -> None:
        """Ends the session: its node goes with it."""

        def closed(error: int, result: object) -> None:
            self.client.stop()
            then()

        self._stand(Standing.LEFT)
        self.client.ask(Close(), closed)

    def stop(self) -> None:
        """Falls silent, as a process that dies: the session lapses."""
        self.standing = Standing.LEFT
        self.client.stop()
