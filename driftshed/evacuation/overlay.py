"""What stands on zones, laid over the list that the module hears. Free of I/O.

A server of the share that is left is told as draining: the module moves its work away within the grace, under its own
caps, and takes it back as a cold one when it is told as ready again. Which servers those are goes by lots drawn from
their ids, the same for all supervisors."""

from __future__ import annotations

import hashlib

from driftshed import interface as face

FLOOR = 1  # servers that are listed ready below which nothing is left


def lot(server: face.Server) -> bytes:
    return hashlib.blake2b(server, digest_size=8).digest()


class Overlay:
    """`shares`: by zone, what is left of it; `warm_within`: seconds until a started server is warm. Times are seconds
    on the clock that the list's starts are told in."""

    def __init__(self, zones: int, warm_within: float = 0.0) -> None:
        self.shares, self.warm_within = [0.0] * zones, warm_within
        self.entries: dict[face.Server, face.Entry] = {}  # as listed
        self.out: set[face.Server] = set()
        self.out_at: dict[face.Server, float] = {}  # since when it is left
        self.back_at: dict[face.Server, float] = {}  # of one that was let in again: when it is to be taken for started

    def wanted(self) -> set[face.Server]:
        """The servers that are left by the shares that stand."""
        out: set[face.Server] = set()
        ready = [entry for entry in self.entries.values() if entry.state == face.READY]
        for zone, share in enumerate(self.shares):
            if share > 0:
                own = sorted((lot(entry.server), entry.server) for entry in ready if entry.zone == zone)
                # Guards against a trickle of a small zone that lets nobody in, and so shows nothing.
                out.update(server for _, server in own[: int(share * len(own) + 1e-9)])
        # Guards against proxies left bare: where nobody else is ready, what was agreed gives way.
        return out if len(ready) - len(out) >= FLOOR else set()

    def hear(self, listing: face.Listing, now: float) -> face.Listing:
        """A piece of news of the list, as the module is to hear it, with those whose being left changes by it."""
        if listing.kind in (face.FULL, face.CACHED):
            self.entries = {}
        for entry in listing.entries:
            if entry.state == face.GONE:
                self.entries.pop(entry.server, None)
                self.back_at.pop(entry.server, None)
            else:
                if entry.started != getattr(self.entries.get(entry.server), "started", entry.started):
                    self.back_at.pop(entry.server, None)
                self.entries[entry.server] = entry
        before = self.out
        self._settle(now)
        changed = {entry.server for entry in listing.entries} | (before ^ self.out)
        gone = [entry for entry in listing.entries if entry.state == face.GONE]
        if listing.kind == face.DELTA:
            shown = [self._shown(self.entries[name]) for name in changed if name in self.entries]
            return face.Listing(listing.version, listing.kind, (*shown, *gone))
        return face.Listing(listing.version, listing.kind, tuple(map(self._shown, self.entries.values())))

    def take(self, shares: list[float], version: int, now: float) -> face.Listing | None:
        """New shares stand: what the module is to hear of it, if anything changes."""
        self.shares, before = shares, self.out
        self._settle(now)
        changed = [self.entries[name] for name in self.entries if name in before ^ self.out]
        if not changed:
            return None
        return face.Listing(version, face.DELTA, tuple(map(self._shown, changed)))

    def _settle(self, now: float) -> None:
        wanted = self.wanted()
        for server in self.out - wanted:
            idle = now - self.out_at.pop(server, now)
            if server in self.entries:
                # What stood idle has cooled as long as it would have warmed: one that was left for a moment is warm.
                self.back_at[server] = now - max(0.0, self.warm_within - idle)
        self.out_at |= dict.fromkeys(wanted - self.out, now)
        self.out = wanted

    def _shown(self, entry: face.Entry) -> face.Entry:
        if entry.server in self.out:
            return entry._replace(state=face.DRAINING) if entry.state == face.READY else entry
        back = self.back_at.get(entry.server)
        if back is not None and entry.state == face.READY and (entry.started is None or entry.started < back):
            return entry._replace(started=back)
        return entry
