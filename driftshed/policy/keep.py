"""What a supervisor keeps of policies on its disk: what it has assented to and what was settled. SQLite, in WAL mode
and synced at each change, so that a write that was torn is none."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

FORM = 1  # of the file
MOST = 200  # versions that are kept, the newest
FILE = "policy.db"


class BadKeep(Exception):
    """A file that cannot be used or written; the text says why and what to do."""


class Kept(NamedTuple):
    """`state`: "assented" while it is not known what became of it, then "settled" or "void". `epoch`: of its record.
    `at`: unix time at which it was written here."""

    version: int
    epoch: int
    state: str
    digest: str
    text: str
    who: str
    why: str
    at: float
    took: float  # seconds from the proposal as first seen here to its end
    assents: str  # names, a comma between


ROWS = ", ".join(Kept._fields)


class Keep:
    """`fleet`: what the fleet is known by; `name`: this supervisor's. Every change is on the disk when the call
    returns; BadKeep where it could not be, and then nothing of it is there."""

    def __init__(self, folder: Path, fleet: str, name: str) -> None:
        self.path = folder / FILE
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.base = sqlite3.connect(self.path, isolation_level=None, timeout=1.0)
            self.base.execute("PRAGMA journal_mode=WAL")
            self.base.execute("PRAGMA synchronous=FULL")
            if self.base.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise sqlite3.DatabaseError("its pages do not fit together")
            self._open(fleet, name)
        except (sqlite3.Error, OSError) as error:
            raise BadKeep(
                f"{self.path}: {error}; name a folder that can be written, or move the file away: what was "
                "settled is read from the store"
            ) from None

    def _open(self, fleet: str, name: str) -> None:
        with Change(self):
            self.base.execute("CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value TEXT)")
            known = dict(self.base.execute("SELECT key, value FROM meta"))
            if not known:
                rows = [("form", str(FORM)), ("fleet", fleet), ("name", name)]
                self.base.executemany("INSERT INTO meta VALUES (?, ?)", rows)
            elif not known.get("form", "").isdigit() or int(known["form"]) > FORM:
                raise BadKeep(
                    f"{self.path}: form {known.get('form')!r} is newer than this build reads ({FORM}): "
                    "update driftshed, or name another folder"
                )
            elif (known.get("fleet"), known.get("name")) != (fleet, name):
                raise BadKeep(
                    f"{self.path}: it is of supervisor {known.get('name')!r} of fleet {known.get('fleet')!r}"
                    f", not of {name!r} of {fleet!r}: name a folder of its own"
                )
            self.base.execute(
                "CREATE TABLE IF NOT EXISTS versions (version INTEGER, epoch INTEGER PRIMARY KEY, state TEXT, "
                "digest TEXT, text TEXT, who TEXT, why TEXT, at REAL, took REAL, assents TEXT)"
            )

    def put(self, kept: Kept) -> None:
        """Writes one version as it stands now, in place of what was kept under its epoch."""
        with Change(self):
            marks = ", ".join("?" * len(kept))
            self.base.execute(f"INSERT OR REPLACE INTO versions ({ROWS}) VALUES ({marks})", kept)
            kept = "SELECT epoch FROM versions ORDER BY epoch DESC LIMIT ?"
            self.base.execute(f"DELETE FROM versions WHERE state != 'assented' AND epoch NOT IN ({kept})", (MOST,))

    def _read(self, where: str = "", given: tuple = ()) -> list[Kept]:
        try:
            return [Kept(*row) for row in self.base.execute(f"SELECT {ROWS} FROM versions {where}", given)]
        except sqlite3.Error as error:
            raise BadKeep(f"{self.path}: {error}") from None

    def settled(self) -> Kept | None:
        """The newest that was settled."""
        return next(iter(self._read("WHERE state = 'settled' ORDER BY epoch DESC LIMIT 1")), None)

    def version(self, version: int) -> Kept | None:
        """A version that was settled."""
        return next(iter(self._read("WHERE state = 'settled' AND version = ?", (version,))), None)

    def assented(self) -> list[Kept]:
        """What was assented to and is not known to have ended."""
        return self._read("WHERE state = 'assented' ORDER BY epoch")

    def history(self) -> list[Kept]:
        return self._read("ORDER BY epoch DESC")

    def close(self) -> None:
        self.base.close()


class Change:
    """One transaction: all of it or nothing."""

    def __init__(self, keep: Keep) -> None:
        self.keep = keep

    def __enter__(self) -> None:
        try:
            self.keep.base.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise BadKeep(f"{self.keep.path}: {error}") from None

    def __exit__(self, kind: type | None, error: BaseException | None, trace: object) -> None:
        try:
            if self.keep.base.in_transaction:  # a full disk has undone it already
                self.keep.base.execute("COMMIT" if kind is None else "ROLLBACK")
        except sqlite3.Error as failed:
            raise BadKeep(f"{self.keep.path}: {failed}") from None
        if isinstance(error, sqlite3.Error):
            raise BadKeep(f"{self.keep.path}: {error}; make room or name another folder") from None
