"""The roster as of the last update received, and the events that updates produce."""

from __future__ import annotations

from driftshed import interface as face
from driftshed.core.hub import Refused
from driftshed.core.messages import STATES, InvalidServerName, RosterUpdate, server_id


class Roster:
    """The servers by their six bytes, as entries of the module's interface, and the version of the last update."""

    def __init__(self, facts: face.StartFacts, wall_offset: float) -> None:
        """`wall_offset` is added to unix times to get times on the instance's clock. It is constant for the whole run,
        so that a start reported twice is the same start."""
        self.zones = {name: index for index, name in enumerate(facts.zones)}
        self.kinds = {name: index for index, name in enumerate(facts.kinds)}
        self.wall_offset, self.version = wall_offset, None
        self.entries: dict[face.Server, face.Entry] = {}

    def apply_update(self, update: RosterUpdate) -> face.Listing:
        """Applies an update and returns its event. Raises Refused, without any change, for an unknown zone, kind or
        state, a bad name, a server named twice, or a delta that does not follow the version held."""
        entries: dict[face.Server, face.Entry] = {}
        for listed in update.servers:
            try:
                server = server_id(listed.server)
            except InvalidServerName as error:
                raise Refused(400, str(error)) from None
            for field, name, allowed in (
                ("zone", listed.zone, self.zones),
                ("kind", listed.kind, self.kinds),
                ("state", listed.state, STATES),
            ):
                if name not in allowed:
                    raise Refused(400, f"server {listed.server}: {field} {name!r} is none of {', '.join(allowed)}")
            if server in entries:
                raise Refused(400, f"server {listed.server} is named twice")
            started = None if listed.started is None else listed.started + self.wall_offset
            entries[server] = face.Entry(
                server,
                self.zones[listed.zone],
                self.kinds[listed.kind],
                started,
                listed.cell,
                STATES[listed.state],
                listed.weight,
            )
        if not update.whole and (self.version is None or update.version != self.version + 1):
            held = "none is" if self.version is None else f"version {self.version} is"
            raise Refused(409, f"change {update.version} does not follow: {held} held; send the whole list")
        kind = face.DELTA
        if update.whole:
            kind = face.CACHED if self.version is None else face.FULL
            self.entries = {}
        self.version = update.version
        self.entries.update(entries)
        for server, entry in entries.items():
            if entry.state == face.GONE:
                del self.entries[server]
        return face.Listing(update.version, kind, tuple(entries.values()))

    def snapshot(self) -> face.Listing | None:
        """Returns the full roster as an event for a new module, or None before the first update."""
        if self.version is None:
            return None
        return face.Listing(self.version, face.CACHED, tuple(self.entries.values()))
