"""What a fleet looks like, from one supervisor's eyes or straight from the store, in one form."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Barred
from driftshed.coordination.folder import Folder
from driftshed.coordination.members import MemberError, Roll, read_member
from driftshed.net.loop import Timers
from driftshed.roster.client import RosterClient
from driftshed.roster.jute import EXPIRED, Event
from driftshed.roster.session import State


class FleetReader:
    """Reads a fleet from its store without taking part in it: `done(view)` once all has been read."""

    def __init__(
        self,
        loop: Timers,
        hosts: list[tuple[str, int]],
        root: str,
        expected: tuple[str, ...],
        done: Callable[[dict], object],
    ) -> None:
        self.loop, self.done = loop, done
        self.roll = Roll(expected, loop.clock())
        self.expect_all = not expected  # with nobody named, all that are there are taken as expected
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
        self.folder = Folder(
            self._send,
            f"{root}/records",
            self._record_updated,
            lambda name: None,
            self._finish_if_complete,
            self._folder_missing,
        )
        self.client = RosterClient(loop, hosts, 4.0, Random("look"), self._state, lambda event: self._event(event))

    def _event(self, event: Event) -> None:
        """What changes while it reads is not awaited: it shows one moment."""

    def _state(self, state: State) -> None:
        if state is State.ON:
            for folder in (self.members, self.folder):
                folder.reset()
                folder.refresh()

    def _send(self, request: object, then: Callable[[int, object], object]) -> None:
        self.client.ask(request, lambda error, result: then(error, result) if error != EXPIRED else None)

    def _folder_missing(self) -> None:
        self._finish()

    def _member_updated(self, node: str, data: bytes, stat: object) -> None:
        try:
            member = read_member(node, data)
        except MemberError:
            return
        if self.expect_all:
            self.roll.set_expected(tuple(sorted({*self.roll.expected, member.name})))
        self.roll.appeared(node, member, stat.czxid, self.loop.clock())

    def _record_updated(self, name: str, data: bytes, stat: object) -> None:
        try:
            self.records[name] = agreement.read_record(name, data)
        except Barred:
            return
        votes = self.votes[name] = []

        def on_vote(node: str, data: bytes, stat: object) -> None:
            try:
                vote = agreement.read_ballot(node, data)
            except Barred:
                return
            if vote.epoch == self.records[name].epoch:
                votes.append(vote)

        vote_folder = self.vote_folders[name] = Folder(
            self._send, f"{self.folder.path}/{name}", on_vote, lambda node: None, self._finish_if_complete
        )
        vote_folder.refresh()

    def _finish_if_complete(self) -> None:
        if (
            self.members.whole
            and self.folder.whole
            and all(vote_folder.whole for vote_folder in self.vote_folders.values())
        ):
            self._finish()

    def _finish(self) -> None:
        now = self.loop.clock()
        records = [{"record": record, "age": None, "words": self.votes[name]} for name, record in self.records.items()]
        members = [row._asdict() for row in self.roll.rows(now)]
        self.done({"by": None, "order": self.roll.order(), "members": members, "records": records})


def plain(view: dict) -> dict:
    """A view as plain values, as JSON carries it."""
    return msgspec.to_builtins(view)


def missing_voters(record: dict, votes: list[dict]) -> list[str]:
    """Whose word an open record lacks."""
    voted = {vote["name"] for vote in votes if vote["epoch"] == record["epoch"]}
    return [name for name in record["needs"] if name not in voted] if record["state"] == "open" else []
