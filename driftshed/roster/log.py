"""Durable storage of a store: a log of transactions and full snapshots of the tree, both with checksums.

A record is its length, its CRC-32 and its bytes. A truncated or corrupt end of the newest log is cut off; corruption
anywhere else raises `CorruptLog`, since acknowledged changes would be missing."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

import msgspec

from driftshed.roster import jute
from driftshed.roster.tree import Node, Session, Tree

RECORD_HEADER = struct.Struct(">II")
MAX_RECORD_BYTES = 4 << 20
RETAINED_SNAPSHOTS = 2


class CorruptLog(Exception):
    """A file is corrupt: its content is not what was written to it."""


def encode_record(kind: str, session: int, time: int, body: bytes) -> bytes:
    """Encodes a record. `kind` and `body`: "open" with time-out and password, "end" with nothing, "do" with a request's
    payload, or "snapshot" with a tree. `time` in milliseconds."""
    data = msgspec.msgpack.encode((kind, session, time, body))
    return RECORD_HEADER.pack(len(data), zlib.crc32(data)) + data


def read_records(data: bytes) -> tuple[list[tuple[str, int, int, bytes]], int]:
    """Decodes the intact records up to the first bad one; returns them and their size in bytes."""
    rows, at = [], 0
    while at + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or zlib.crc32(body) != checksum:
            break
        rows.append(tuple(msgspec.msgpack.decode(body)))
        at += RECORD_HEADER.size + size
    return rows, at


def apply_record(tree: Tree, kind: str, session: int, time: int, body: bytes) -> None:
    """Applies a record to a tree in the state that it had when the record was written."""
    if kind == "open":
        timeout, password = msgspec.msgpack.decode(body)
        tree.open_session(session, timeout, password)
    elif kind == "end":
        tree.end_session(session)
    else:
        _, request = jute.read_request(body)
        tree.execute(session, request, time)


def encode_tree(tree: Tree) -> bytes:
    """Encodes a tree, without watches, which belong to connections."""
    nodes = [
        (path, n.data, n.czxid, n.mzxid, n.ctime, n.mtime, n.version, n.cversion, n.owner, n.pzxid)
        for path, n in tree.nodes.items()
    ]
    sessions = [(session_id, session.timeout, session.password) for session_id, session in tree.sessions.items()]
    return msgspec.msgpack.encode((tree.zxid, nodes, sessions))


def decode_tree(data: bytes) -> Tree:
    """Decodes what `encode_tree` has encoded."""
    zxid, nodes, sessions = msgspec.msgpack.decode(data)
    tree = Tree()
    tree.zxid = zxid
    for session_id, timeout, password in sessions:
        tree.sessions[session_id] = Session(timeout, password)
    for path, data_, czxid, mzxid, ctime, mtime, version, cversion, owner, pzxid in nodes:
        node = tree.nodes[path] = Node(data_, czxid, ctime, owner)
        node.mzxid, node.mtime, node.version, node.cversion, node.pzxid = mzxid, mtime, version, cversion, pzxid
        if owner:
            tree.sessions[owner].nodes[path] = None
    for path in tree.nodes:
        if path != "/":
            parent, _, name = path.rpartition("/")
            tree.nodes[parent or "/"].children[name] = None
    return tree


class TransactionLog:
    """The files in a folder: `snapshot-N` holds the tree at zxid N, `log-N` the transactions after it."""

    def __init__(self, folder: Path, snapshot_interval: int = 10000) -> None:
        """Loads the tree. `snapshot_interval`: records from one snapshot to the next. Raises CorruptLog."""
        self.folder, self.snapshot_interval = folder, snapshot_interval
        folder.mkdir(parents=True, exist_ok=True)
        self.tree, self.truncated_bytes = self._load()
        self.records_since_snapshot, self.unsynced = 0, bytearray()
        self._open_log()

    def _numbered_files(self, name: str) -> list[tuple[int, Path]]:
        found = []
        for path in self.folder.glob(f"{name}-*"):
            zxid = path.name.rpartition("-")[2]
            if zxid.isdigit():
                found.append((int(zxid), path))
        return sorted(found)

    def _load(self) -> tuple[Tree, int]:
        """Returns the tree with all acknowledged changes, and how many bytes of an incomplete record were cut off."""
        tree, snapshot_zxid = Tree(), 0
        for zxid, path in reversed(self._numbered_files("snapshot")):
            rows, size = read_records(path.read_bytes())
            if rows and size == path.stat().st_size:
                tree, snapshot_zxid = decode_tree(rows[0][3]), zxid
                break
            # A snapshot cut short by a crash is not needed: the logs before it are kept until it is complete.
        truncated_bytes = 0
        logs = [(zxid, path) for zxid, path in self._numbered_files("log") if zxid >= snapshot_zxid]
        for k, (zxid, path) in enumerate(logs):
            if zxid != tree.zxid:
                raise CorruptLog(f"{path}: begins after zxid {zxid}, but the tree is at {tree.zxid}")
            data = path.read_bytes()
            rows, size = read_records(data)
            if size < len(data):
                if k < len(logs) - 1:
                    raise CorruptLog(f"{path}: corrupt at byte {size}, and newer logs depend on it")
                truncated_bytes = len(data) - size
                with path.open("r+b") as file:
                    file.truncate(size)
            for row in rows:
                apply_record(tree, *row)
        return tree, truncated_bytes

    def _open_log(self) -> None:
        self.file = (self.folder / f"log-{self.tree.zxid}").open("ab", buffering=0)
        self.records_since_snapshot = 0

    def add(self, kind: str, session: int, time: int, body: bytes) -> None:
        """Buffers a record; it is durable once `sync()` has returned."""
        self.unsynced += encode_record(kind, session, time, body)
        self.records_since_snapshot += 1

    def sync(self) -> None:
        """Writes the buffered records to disk, and takes a snapshot if one is due."""
        if not self.unsynced:
            return
        data, self.unsynced = self.unsynced, bytearray()
        while data:
            del data[: self.file.write(data)]
        os.fsync(self.file.fileno())
        if self.records_since_snapshot >= self.snapshot_interval:
            self.snapshot()

    def snapshot(self) -> None:
        """Writes the tree to a temporary file and renames it. Files older than the last two snapshots are deleted."""
        zxid = self.tree.zxid
        if self.folder / f"log-{zxid}" == Path(self.file.name):
            return
        data = encode_record("snapshot", 0, 0, encode_tree(self.tree))
        temporary = self.folder / f"new-{zxid}"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self.folder / f"snapshot-{zxid}")
        self.file.close()
        self._open_log()
        self._sync_folder()
        retained = self._numbered_files("snapshot")[-RETAINED_SNAPSHOTS:]
        if len(retained) == RETAINED_SNAPSHOTS:
            for name in ("snapshot", "log"):
                for zxid, path in self._numbered_files(name):
                    if zxid < retained[0][0]:
                        path.unlink()

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Writes the buffered records and closes the file."""
        self.sync()
        self.file.close()
