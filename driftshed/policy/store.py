"""Durable store of policy versions on a supervisor's disk: those it has assented to and those that were committed.

SQLite in WAL mode, synced at each change, so that a torn write leaves no trace."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

FILE_FORM = 1  # format version of the database file
MAX_VERSIONS = 200  # newest versions that are retained; undecided ones are retained besides
FILE_NAME = "policy.db"


class PolicyStoreError(Exception):
    """The database file cannot be used or written; the message names the reason and the remedy."""


class StoredVersion(NamedTuple):
    """One stored version of the policy.

    `state` is "assented" while the outcome is unknown, then "settled" (committed) or "void" (aborted). `epoch` is that
    of the agreement record. `at` is the unix time in seconds at which the row was written. The field names are columns
    of the database and keys of the supervisor's JSON view."""

    version: int
    epoch: int
    state: str
    digest: str
    text: str
    who: str
    why: str
    at: float
    took: float  # seconds from the first sight of the proposal here to its outcome
    assents: str  # names of the voters, comma-separated


COLUMNS = ", ".join(StoredVersion._fields)


class PolicyStore:
    """Policy versions of one supervisor in a SQLite file.

    Every change is on disk when the call returns. If it cannot be written, the call raises PolicyStoreError and leaves
    the file unchanged."""

    def __init__(self, folder: Path, fleet: str, name: str) -> None:
        """Opens the file in `folder`, which is created if needed.

        `fleet` identifies the fleet and `name` this supervisor. Raises PolicyStoreError if the file cannot be opened,
        is corrupt, has a newer format or belongs to another supervisor or fleet."""
        self.path = folder / FILE_NAME
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.connection = sqlite3.connect(self.path, isolation_level=None, timeout=1.0)
            self.connection.execute("PRAGMA journal_mode=WAL")
            self.connection.execute("PRAGMA synchronous=FULL")
            if self.connection.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise sqlite3.DatabaseError("the integrity check failed")
            self._prepare(fleet, name)
        except (sqlite3.Error, OSError) as error:
            raise PolicyStoreError(
                f"{self.path}: {error}; name a folder that can be written, or move the file away: committed "
                "versions are read from the store again"
            ) from None

    def _prepare(self, fleet: str, name: str) -> None:
        with Transaction(self):
            self.connection.execute("CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value TEXT)")
            meta = dict(self.connection.execute("SELECT key, value FROM meta"))
            if not meta:
                rows = [("form", str(FILE_FORM)), ("fleet", fleet), ("name", name)]
                self.connection.executemany("INSERT INTO meta VALUES (?, ?)", rows)
            elif not meta.get("form", "").isdigit() or int(meta["form"]) > FILE_FORM:
                raise PolicyStoreError(
                    f"{self.path}: file format {meta.get('form')!r} is newer than this build reads ({FILE_FORM}): "
                    "update driftshed, or name another folder"
                )
            elif (meta.get("fleet"), meta.get("name")) != (fleet, name):
                raise PolicyStoreError(
                    f"{self.path}: it belongs to supervisor {meta.get('name')!r} of fleet {meta.get('fleet')!r}"
                    f", not to {name!r} of {fleet!r}: name a folder of its own"
                )
            self.connection.execute(
                "CREATE TABLE IF NOT EXISTS versions (version INTEGER, epoch INTEGER PRIMARY KEY, state TEXT, "
                "digest TEXT, text TEXT, who TEXT, why TEXT, at REAL, took REAL, assents TEXT)"
            )

    def put(self, kept: StoredVersion) -> None:
        """Writes one version, replacing the row of the same epoch, and deletes the oldest beyond MAX_VERSIONS."""
        with Transaction(self):
            marks = ", ".join("?" * len(kept))
            self.connection.execute(f"INSERT OR REPLACE INTO versions ({COLUMNS}) VALUES ({marks})", kept)
            kept = "SELECT epoch FROM versions ORDER BY epoch DESC LIMIT ?"
            self.connection.execute(
                f"DELETE FROM versions WHERE state != 'assented' AND epoch NOT IN ({kept})", (MAX_VERSIONS,)
            )

    def _select(self, where: str = "", parameters: tuple = ()) -> list[StoredVersion]:
        try:
            return [
                StoredVersion(*row)
                for row in self.connection.execute(f"SELECT {COLUMNS} FROM versions {where}", parameters)
            ]
        except sqlite3.Error as error:
            raise PolicyStoreError(f"{self.path}: {error}") from None

    def latest_committed(self) -> StoredVersion | None:
        """Returns the latest committed version."""
        return next(iter(self._select("WHERE state = 'settled' ORDER BY epoch DESC LIMIT 1")), None)

    def find_committed(self, version: int) -> StoredVersion | None:
        """Returns a committed version by its number, None if it is not retained."""
        return next(iter(self._select("WHERE state = 'settled' AND version = ?", (version,))), None)

    def assented(self) -> list[StoredVersion]:
        """Returns the versions that were assented to and whose outcome is unknown, by epoch."""
        return self._select("WHERE state = 'assented' ORDER BY epoch")

    def history(self) -> list[StoredVersion]:
        """Returns all retained versions, the newest first."""
        return self._select("ORDER BY epoch DESC")

    def close(self) -> None:
        """Closes the file; the store cannot be used afterwards."""
        self.connection.close()


class Transaction:
    """Context manager for one transaction: commits, or rolls back on an exception; raises PolicyStoreError on
    failure."""

    def __init__(self, store: PolicyStore) -> None:
        """Uses the connection of `store`; transactions cannot be nested."""
        self.store = store

    def __enter__(self) -> None:
        try:
            self.store.connection.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise PolicyStoreError(f"{self.store.path}: {error}") from None

    def __exit__(self, exc_type: type | None, error: BaseException | None, trace: object) -> None:
        try:
            if self.store.connection.in_transaction:  # on a full disk SQLite has rolled back already
                self.store.connection.execute("COMMIT" if exc_type is None else "ROLLBACK")
        except sqlite3.Error as rollback_error:
            raise PolicyStoreError(f"{self.store.path}: {rollback_error}") from None
        if isinstance(error, sqlite3.Error):
            raise PolicyStoreError(f"{self.store.path}: {error}; make room or name another folder") from None
