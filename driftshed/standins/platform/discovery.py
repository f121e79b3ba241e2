"""Discovery as one supervisor's agent knows it: versions, entries, and when each change was told."""

from __future__ import annotations

from collections.abc import Callable

from driftshed import interface as face
from driftshed.standins.platform.servers import FleetServer

STATE_NAMES = {face.READY: "up", face.DRAINING: "draining", face.GONE: "removed"}
FIRST_VERSION = 40
LISTED_WEIGHT = 1.0  # of each server


def listed_entry(server: FleetServer, state: int, unix_offset: float) -> dict:
    """The entry of a server; `unix_offset` is added to the play's clock to get unix times."""
    started_ms = 0 if server.started_at is None else round(1000 * (server.started_at + unix_offset))
    return {
        "id": server.name,
        "addr": "127.0.0.1:1",
        "zone": server.facts.zones[server.zone],
        "kind": server.facts.kinds[server.kind],
        "cell": 0,
        "state": STATE_NAMES[state],
        "weight": LISTED_WEIGHT,
        "started_ms": started_ms,
    }


class Agent:
    """The list of servers at one supervisor's machine. `on_change(document)` passes on each change."""

    def __init__(self, entries: list[dict]) -> None:
        """`entries`: the list at the start."""
        self.version = FIRST_VERSION
        self.entries = {entry["id"]: entry for entry in entries}
        self.changes: list[tuple[int, list[dict]]] = []
        self.on_change: Callable[[dict], object] = lambda document: None
        self.told_ready_at: dict[str, float] = {}  # of servers that are listed as started anew
        self.told_leaving_at: dict[str, float] = {}  # of servers that are listed as draining or removed

    def full_list(self) -> dict:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def changes_after(self, version: int) -> dict | None:
        """The entries that have changed since a version; None where none has."""
        entries = {entry["id"]: entry for since, rows in self.changes if since > version for entry in rows}
        if not entries:
            return None
        return {"version": self.version, "full": False, "servers": list(entries.values())}

    def tell(self, now: float, entries: list[dict]) -> None:
        """Publishes one change of the list."""
        self.version += 1
        self.changes.append((self.version, entries))
        for entry in entries:
            name = entry["id"]
            if entry["state"] == STATE_NAMES[face.READY]:
                self.told_ready_at[name] = now
                self.told_leaving_at.pop(name, None)
            else:
                self.told_ready_at.pop(name, None)
                self.told_leaving_at.setdefault(name, now)
            self.entries[name] = entry
            if entry["state"] == STATE_NAMES[face.GONE]:
                del self.entries[name]
        self.on_change({"version": self.version, "full": False, "servers": entries})
