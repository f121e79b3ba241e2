"""Registers a server in the store: joins, drains, leaves and re-registers after a lost session, fenced by epochs.

Each start acquires the next epoch of its address with a conditional write on the version that it read, so two
concurrent starts cannot get the same epoch. A process that resumes after a pause finds its session expired; it
registers again only if no other start has acquired an epoch since, else it is fenced and registers nothing more."""

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
from driftshed.roster.membership import ServerAnnouncement
from driftshed.roster.nodes import write_node
from driftshed.roster.session import SessionState

RETRY_DELAY_S = 0.5  # after a request that failed or whose outcome is unknown


class RegistrationState(Enum):
    """Registration state of an announcer."""

    JOINING = "joining"
    LISTED = "listed"
    FENCED = "fenced"  # another start owns the address: this one registers nothing more
    LEFT = "left"


class Announcer:
    """Keeps a session with the store, and in it the ephemeral node of one start of a server."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        node: ServerAnnouncement,
        timeout: float,
        seed: int,
        on_state_change: Callable[[RegistrationState], object] = lambda state: None,
        dial: Callable[..., Stream] = dial,
    ) -> None:
        """`node`: the data to announce; its epoch is set here. `on_state_change(state)` is called with each new
        registration state. `timeout`: of the session, in seconds."""
        self.loop, self.hosts, self.root, self.node, self.timeout = loop, hosts, root, node, timeout
        self.random, self.on_state_change, self.dial = Random(f"announce {seed}"), on_state_change, dial
        self.state = RegistrationState.JOINING
        self.epoch = 0  # none acquired yet
        self.on_written: Callable[[], object] | None = None  # called once the store has the latest state
        self.counter_path = f"{root}-epochs/{self.name}"
        self._open_session()

    @property
    def name(self) -> str:
        """The name that is registered, with one node for each epoch."""
        return self.node.server

    def data(self) -> bytes:
        """The data of the node."""
        return write_node(self.node._replace(epoch=self.epoch))

    def _open_session(self) -> None:
        self.client = RosterClient(
            self.loop, self.hosts, self.timeout, self.random, self._on_session_state, self._on_event, self.dial
        )
        self._acquire_epoch()

    def _on_event(self, event: Event) -> None:
        """Does nothing: an announcer sets no watches."""

    def _on_session_state(self, state: SessionState) -> None:
        if state is SessionState.EXPIRED and self.state not in (RegistrationState.FENCED, RegistrationState.LEFT):
            self._set_state(RegistrationState.JOINING)
            self.loop.soon(self._open_session)

    def _set_state(self, state: RegistrationState) -> None:
        if state is not self.state:
            self.state = state
            self.on_state_change(state)
            if state is RegistrationState.LISTED:
                self._write_state()

    def _request(self, request: object, then: Callable[[int, object], object]) -> None:
        client = self.client

        def on_result(error: int, result: object) -> None:
            if (
                client is self.client
                and self.state not in (RegistrationState.FENCED, RegistrationState.LEFT)
                and error != EXPIRED
            ):
                then(error, result)

        client.send_request(request, on_result)

    def _retry_later(self, call: Callable[[], object]) -> None:
        client = self.client
        self.loop.after(RETRY_DELAY_S, lambda: call() if client is self.client else None)

    # ---- joining ----------------------------------------------------------------------------------------------

    def _acquire_epoch(self) -> None:
        """Reads the number of starts, then increments it on condition that it has not changed."""

        def on_read(error: int, result: object) -> None:
            if error == NO_NODE:
                self._create_counter()
            elif error != OK:
                self._retry_later(self._acquire_epoch)
            elif self.epoch and result[1].version != self.epoch:
                self.fence()
            elif self.epoch:
                self._create_node()  # no other start since
            else:
                self._request(SetData(self.counter_path, b"", result[1].version), on_incremented)

        def on_incremented(error: int, result: object) -> None:
            if error == OK:
                self.epoch = result.version
                self._create_node()
            elif error == BAD_VERSION:
                self._acquire_epoch()  # another start was faster
            else:
                # Guards against an epoch that was acquired although the answer was lost: a higher one is always free.
                self._retry_later(self._acquire_epoch)

        self._request(GetData(self.counter_path), on_read)

    def _create_counter(self) -> None:
        """Creates the parent nodes and the counter, where another start has not created them already. The counter comes
        last: were it there without the root, after a connection lost in between, no start would create the root."""
        paths = []
        for path in (self.root, self.counter_path):
            parts = path.split("/")[1:]
            paths += ["/" + "/".join(parts[: k + 1]) for k in range(len(parts))]

        def create(k: int) -> None:
            def on_created(error: int, result: object) -> None:
                if error not in (OK, NODE_EXISTS):
                    self._retry_later(self._acquire_epoch)
                elif k + 1 < len(paths):
                    create(k + 1)
                else:
                    self._acquire_epoch()

            self._request(Create(paths[k], b""), on_created)

        create(0)

    @property
    def path(self) -> str:
        """Path of the node of the present epoch."""
        return f"{self.root}/{self.name}~{self.epoch}"

    def _create_node(self) -> None:
        def on_created(error: int, result: object) -> None:
            if error == OK:
                self._set_state(RegistrationState.LISTED)
            elif error == NODE_EXISTS:
                self._check_existing_node()
            elif error == CONNECTION_LOSS:
                self._retry_later(self._create_node)
            else:
                self._retry_later(self._acquire_epoch)

        self._request(Create(self.path, self.data(), EPHEMERAL), on_created)

    def _check_existing_node(self) -> None:
        """A node of the own epoch exists: created by this session if an answer was lost, or by the previous session."""

        def on_read(error: int, result: object) -> None:
            if error == OK and result[1].ephemeral_owner == self.client.session.session:
                self._set_state(RegistrationState.LISTED)
            else:
                self._retry_later(self._create_node)

        self._request(GetData(self.path), on_read)

    # ---- leaving -----------------------------------------------------------------------------------------------

    def fence(self) -> None:
        """Another start owns the name: sends no more requests but the one that closes the session."""
        self._set_state(RegistrationState.FENCED)
        self.client.send_request(Close(), lambda error, result: None)
        self.client.stop()

    def set_server_state(self, state: str, then: Callable[[], object] = lambda: None) -> None:
        """Sets the state "draining", "gone" or "ready", effective at once; calls `then()` once it is stored."""
        self.node, self.on_written = self.node._replace(state=state), then
        self._write_state()

    def _write_state(self) -> None:
        """Writes the latest state, if the store is not known to have it.

        Guards against a state that is lost with its session, for whose `then` the caller would wait forever: it is
        written again once this start is listed again."""
        then = self.on_written
        if then is None or self.state is not RegistrationState.LISTED:
            return

        def on_stored(error: int, result: object) -> None:
            if self.on_written is not then:
                return  # a later state is being written
            if error == OK:
                self.on_written = None
                then()
            elif error == NO_NODE:  # the node was deleted by another client
                self._set_state(RegistrationState.JOINING)
                self._create_node()
            else:
                self._retry_later(self._write_state)

        self._request(SetData(self.path, self.data()), on_stored)

    def leave(self, then: Callable[[], object] = lambda: None) -> None:
        """Sets the state "gone", then ends the session."""
        self.set_server_state("gone", lambda: self.close(then))

    def close(self, then: Callable[[], object] = lambda: None) -> None:
        """Ends the session, and its node with it; calls `then()` once the request is answered or has failed."""

        def on_closed(error: int, result: object) -> None:
            self.client.stop()
            then()

        self._set_state(RegistrationState.LEFT)
        self.client.send_request(Close(), on_closed)

    def stop(self) -> None:
        """Ends the connection without closing the session, as a dying process does: the session lapses."""
        self.state = RegistrationState.LEFT
        self.client.stop()
