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


class Looker:
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
        self.strange = not expected  # with nobody named, all that are there are taken as expected
        self.records: dict[str, agreement.Record] = {}
        self.words: dict[str, list[agreement.Vote]] = {}
        self.boxes: dict[str, Folder] = {}
        self.members = Folder(self._ask, f"{root}/members", self._member, lambda node: None, self._look, self._none)
        self.folder = Folder(self._ask, f"{root}/records", self._record, lambda name: None, self._look, self._none)
        self.client = RosterClient(loop, hosts, 4.0, Random("look"), self._state, lambda event: self._event(event))

    def _event(self, event: Event) -> None:
        """What changes while it reads is not awaited: it shows one moment."""

    def _state(self, state: State) -> None:
        if state is State.ON:
            for folder in (self.members, self.folder):
                folder.forget()
                folder.begin()

    def _ask(self, request: object, then: Callable[[int, object], object]) -> None:
        self.client.ask(request, lambda error, result: then(error, result) if error != EXPIRED else None)

    def _none(self) -> None:
        self._finish()

    def _member(self, node: str, data: bytes, stat: object) -> None:
        try:
            member = read_member(node, data)
        except MemberError:
            return
        if self.strange:
            self.roll.set_expected(tuple(sorted({*self.roll.expected, member.name})))
        self.roll.appeared(node, member, stat.czxid, self.loop.clock())

    def _record(self, name: str, data: bytes, stat: object) -> None:
        try:
            self.records[name] = agreement.read_record(name, data)
        except Barred:
            return
        words = self.words[name] = []

        def word(node: str, data: bytes, stat: object) -> None:
            try:
                ballot = agreement.read_ballot(node, data)
            except Barred:
                return
            if ballot.epoch == self.records[name].epoch:
                words.append(ballot)

        box = self.boxes[name] = Folder(self._ask, f"{self.folder.path}/{name}", word, lambda node: None, self._look)
        box.begin()

    def _look(self) -> None:
        if self.members.whole and self.folder.whole and all(box.whole for box in self.boxes.values()):
            self._finish()

    def _finish(self) -> None:
        now = self.loop.clock()
        records = [{"record": record, "age": None, "words": self.words[name]} for name, record in self.records.items()]
        members = [row._asdict() for row in self.roll.rows(now)]
        self.done({"by": None, "order": self.roll.order(), "members": members, "records": records})


def plain(view: dict) -> dict:
    """A view as plain values, as JSON carries it."""
    return msgspec.to_builtins(view)


def waits_for(record: dict, words: list[dict]) -> list[str]:
    """Whose word an open record lacks."""
    spoke = {word["name"] for word in words if word["epoch"] == record["epoch"]}
    return [name for name in record["needs"] if name not in spoke] if record["state"] == "open" else []
