"""Applies the shares of zones that are left to the roster that the module receives. Free of I/O.

A server in the share that is left is listed as draining: the module moves its work away within the grace, under its own
limits, and uses it as a cold one when it is listed as ready again. Servers are selected in the order of a hash of their
ids, which is the same at all supervisors."""

from __future__ import annotations

import hashlib

from driftshed import interface as face

MIN_READY_SERVERS = 1  # with fewer that are listed ready and not left, nothing is left


def hash_order(server: face.Server) -> bytes:
    """Returns the sort key by which servers of a zone are left: a hash of the id."""
    return hashlib.blake2b(server, digest_size=8).digest()


class Overlay:
    """The listed servers, and those of them that are left.

    `shares`: by zone, the share of its ready servers that is left. Times are seconds on the clock of the start times in
    the roster."""

    def __init__(self, zones: int, warm_within: float = 0.0) -> None:
        """Starts with `zones` zones of which nothing is left; `warm_within`: seconds until a started server is warm."""
        self.shares, self.warm_within = [0.0] * zones, warm_within
        self.entries: dict[face.Server, face.Entry] = {}  # as listed
        self.left: set[face.Server] = set()
        self.left_at: dict[face.Server, float] = {}  # time since which it is left
        self.cold_since: dict[face.Server, float] = {}  # start time to list for a server that has returned

    def servers_to_leave(self) -> set[face.Server]:
        """Returns the servers that are to be left by the current shares."""
        left: set[face.Server] = set()
        ready = [entry for entry in self.entries.values() if entry.state == face.READY]
        for zone, share in enumerate(self.shares):
            if share > 0:
                ordered = sorted((hash_order(entry.server), entry.server) for entry in ready if entry.zone == zone)
                # Guards against a small return to a small zone that admits no server, and so yields no evidence.
                left.update(server for _, server in ordered[: int(share * len(ordered) + 1e-9)])
        # Guards against proxies without a usable server: if no other is ready, the agreed shares are ignored.
        return left if len(ready) - len(left) >= MIN_READY_SERVERS else set()

    def apply_listing(self, listing: face.Listing, now: float) -> face.Listing:
        """Applies an update of the roster and returns it as the module is to receive it.

        The result includes the servers that are left or return as a consequence of the update."""
        if listing.kind in (face.FULL, face.CACHED):
            self.entries = {}
        for entry in listing.entries:
            if entry.state == face.GONE:
                self.entries.pop(entry.server, None)
                self.cold_since.pop(entry.server, None)
            else:
                if entry.started != getattr(self.entries.get(entry.server), "started", entry.started):
                    self.cold_since.pop(entry.server, None)
                self.entries[entry.server] = entry
        previous = self.left
        self._update_left(now)
        changed = {entry.server for entry in listing.entries} | (previous ^ self.left)
        gone = [entry for entry in listing.entries if entry.state == face.GONE]
        if listing.kind == face.DELTA:
            listed = [self._effective_entry(self.entries[name]) for name in changed if name in self.entries]
            return face.Listing(listing.version, listing.kind, (*listed, *gone))
        return face.Listing(listing.version, listing.kind, tuple(map(self._effective_entry, self.entries.values())))

    def set_shares(self, shares: list[float], version: int, now: float) -> face.Listing | None:
        """Applies new shares and returns the resulting update for the module, None if nothing changes.

        `shares` is kept, not copied."""
        self.shares, previous = shares, self.left
        self._update_left(now)
        changed = [self.entries[name] for name in self.entries if name in previous ^ self.left]
        if not changed:
            return None
        return face.Listing(version, face.DELTA, tuple(map(self._effective_entry, changed)))

    def _update_left(self, now: float) -> None:
        wanted = self.servers_to_leave()
        for server in self.left - wanted:
            idle_s = now - self.left_at.pop(server, now)
            if server in self.entries:
                # An idle server cools as fast as it warms: one that was left for a moment is still warm.
                self.cold_since[server] = now - max(0.0, self.warm_within - idle_s)
        self.left_at |= dict.fromkeys(wanted - self.left, now)
        self.left = wanted

    def _effective_entry(self, entry: face.Entry) -> face.Entry:
        if entry.server in self.left:
            return entry._replace(state=face.DRAINING) if entry.state == face.READY else entry
        cold_since = self.cold_since.get(entry.server)
        if (
            cold_since is not None
            and entry.state == face.READY
            and (entry.started is None or entry.started < cold_since)
        ):
            return entry._replace(started=cold_since)
        return entry
