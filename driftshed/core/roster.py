"""The list of servers as the supervisor was last told it, and the events that news of it makes."""

from __future__ import annotations

from driftshed import interface as face
from driftshed.core.hub import Refused
from driftshed.core.messages import STATES, BadName, RosterNews, server_id


class Roster:
    def __init__(self, facts: face.StartFacts, wall: float) -> None:
        """`wall`: what to add to unix time to have the instance's clock, one figure for the whole run, so that a
        start told twice is the same start."""
        self.zones = {name: place for place, name in enumerate(facts.zones)}
        self.kinds = {name: place for place, name in enumerate(facts.kinds)}
        self.wall, self.version = wall, None
        self.entries: dict[face.Server, face.Entry] = {}

    def hear(self, news: RosterNews) -> face.Listing:
        """The event of one piece of news. Refused: an unknown zone, kind or state, a bad name, a server named twice,
        or a change that does not follow on the version held; nothing of it is then taken."""
        entries: dict[face.Server, face.Entry] = {}
        for listed in news.servers:
            try:
                server = server_id(listed.server)
            except BadName as error:
                raise Refused(400, str(error)) from None
            for what, name, known in (
                ("zone", listed.zone, self.zones),
                ("kind", listed.kind, self.kinds),
                ("state", listed.state, STATES),
            ):
                if name not in known:
                    raise Refused(400, f"server {listed.server}: {what} {name!r} is none of {', '.join(known)}")
            if server in entries:
                raise Refused(400, f"server {listed.server} is named twice")
            started = None if listed.started is None else listed.started + self.wall
            entries[server] = face.Entry(
                server,
                self.zones[listed.zone],
                self.kinds[listed.kind],
                started,
                listed.cell,
                STATES[listed.state],
                listed.weight,
            )
        if not news.whole and (self.version is None or news.version != self.version + 1):
            held = "none is" if self.version is None else f"version {self.version} is"
            raise Refused(409, f"change {news.version} does not follow: {held} held; send the whole list")
        kind = face.DELTA
        if news.whole:
            kind = face.CACHED if self.version is None else face.FULL
            self.entries = {}
        self.version = news.version
        self.entries.update(entries)
        for server, entry in entries.items():
            if entry.state == face.GONE:
                del self.entries[server]
        return face.Listing(news.version, kind, tuple(entries.values()))

    def told(self) -> face.Listing | None:
        """The whole as held, for an instance that begins anew."""
        if self.version is None:
            return None
        return face.Listing(self.version, face.CACHED, tuple(self.entries.values()))
