"""Views of a fleet, in one format whether they come from a supervisor or directly from the store."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from driftshed.coordination import agreement
from driftshed.coordination.agreement import RecordError
from driftshed.coordination.folder import Folder
from driftshed.coordination.members import MemberError, MembershipView, decode_member
from driftshed.net.loop import Timers
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import EXPIRED, Event
from driftshed.roster.session import SessionState


class FleetReader:
    """Reads a fleet from its store without joining it; calls `on_done(view)` once everything has been read."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        expected: tuple[str, ...],
        on_done: Callable[[dict], object],
    ) -> None:
        """Connects at once. `expected`: names of the supervisors, or empty to expect every supervisor that is found."""
        self.loop, self.on_done = loop, on_done
        self.membership = MembershipView(expected, loop.clock())
        self.expect_all = not expected  # no names given: every member found is expected
        self.records: dict[str, agreement.Record] = {}
        self.votes: dict[str, list[agreement.Vote]] = {}
        self.vote_folders: dict[str, Folder] = {}
        self.members = Folder(
            self._send,
            f"{root}/members",
            self._member_updated,
            lambda node: None,
            self._finish_if_complete,
            self._folder_missing,
        )
        self.record_folder = Folder(
            self._send,
            f"{root}/records",
            self._record_updated,
            lambda name: None,
            self._finish_if_complete,
            self._folder_missing,
        )
        self.client = RosterClient(loop, hosts, 4.0, Random("look"), self._state, lambda event: self._event(event))

    def _event(self, event: Event) -> None:
        """Ignores changes while reading: the view is a snapshot."""

    def _state(self, state: SessionState) -> None:
        if state is SessionState.CONNECTED:
            for folder in (self.members, self.record_folder):
                folder.reset()
                folder.refresh()

    def _send(self, request: object, then: Callable[[int, object], object]) -> None:
        self.client.send_request(request, lambda error, result: then(error, result) if error != EXPIRED else None)

    def _folder_missing(self) -> None:
        self._finish()

    def _member_updated(self, node: str, data: bytes, stat: object) -> None:
        try:
            member = decode_member(node, data)
        except MemberError:
            return
        if self.expect_all:
            self.membership.set_expected(tuple(sorted({*self.membership.expected, member.name})))
        self.membership.update_node(node, member, stat.czxid, self.loop.clock())

    def _record_updated(self, name: str, data: bytes, stat: object) -> None:
        try:
            self.records[name] = agreement.decode_record(name, data)
        except RecordError:
            return
        votes = self.votes[name] = []

        def on_vote(node: str, data: bytes, stat: object) -> None:
            try:
                vote = agreement.read_vote(node, data)
            except RecordError:
                return
            if vote.epoch == self.records[name].epoch:
                votes.append(vote)

        vote_folder = self.vote_folders[name] = Folder(
            self._send, f"{self.record_folder.path}/{name}", on_vote, lambda node: None, self._finish_if_complete
        )
        vote_folder.refresh()

    def _finish_if_complete(self) -> None:
        if (
            self.members.complete
            and self.record_folder.complete
            and all(vote_folder.complete for vote_folder in self.vote_folders.values())
        ):
            self._finish()

    def _finish(self) -> None:
        now = self.loop.clock()
        records = [{"record": record, "age": None, "words": self.votes[name]} for name, record in self.records.items()]
        members = [row._asdict() for row in self.membership.rows(now)]
        self.on_done({"by": None, "order": self.membership.order(), "members": members, "records": records})


def to_plain_values(view: dict) -> dict:
    """Converts a view to builtin types that JSON can encode."""
    return msgspec.to_builtins(view)


def missing_voters(record: dict, votes: list[dict]) -> list[str]:
    """Voters that an open record, given in builtin types, still needs a vote of."""
    voted = {vote["name"] for vote in votes if vote["epoch"] == record["epoch"]}
    return [name for name in record["needs"] if name not in voted] if record["state"] == "open" else []
