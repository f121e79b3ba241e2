"""What is published: turns the module's orders into messages, versions and deltas for each proxy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import pairwise

from driftshed import interface as face
from driftshed.core.channel import Channel, Message
from driftshed.core.messages import Change, In, Level, Line, Out, Use, encode_json, server_name
from driftshed.core.proxy_state import apply_changes, fold

MAX_LOGGED_MESSAGES = 64  # per proxy, for deltas; to a proxy that is further behind a full snapshot is sent
MAX_RECORDS_PER_PROXY = 4  # per expected proxy, records of proxies that are not joined included


class Refused(Exception):
    """A proxy's request cannot be served; `status` is the HTTP status of the answer."""

    def __init__(self, status: int, reason: str) -> None:
        """`reason` is the text of the answer."""
        super().__init__(reason)
        self.status, self.reason = status, reason


class ProxyRecord:
    """The supervisor's state of one proxy. `held`: what the proxy holds once it has applied all released messages."""

    __slots__ = (
        "proxy",
        "zone",
        "stream",
        "joined",
        "bound",
        "held",
        "log",
        "first",
        "version",
        "acked",
        "marks",
        "discarded_to",
        "pending",
        "base",
        "rate",
    )

    def __init__(self, proxy: int) -> None:
        """A proxy that is not joined and holds nothing."""
        self.proxy, self.zone, self.rate, self.stream, self.joined = proxy, 0, 0.0, "", False
        self.bound: dict[int, int] = {}  # table by operation; empty until a table is assigned
        self.held: dict[tuple, Change] = {}
        self.log: deque[Message] = deque()
        self.first = self.version = self.acked = 0  # the log begins after version `first`
        self.marks: deque[Message] = deque()  # released, with a mark that is not acknowledged yet
        # Versions up to this one are not sent: they were discarded with the last stream.
        self.discarded_to = 0
        self.pending: list[Message] = []  # waiting in the channel
        # From this version on it is known what the proxy holds; after an earlier one it gets a full snapshot.
        self.base = 1


def channel_cost(changes: list[Change]) -> int:
    """Returns the lines that changes cost in the channel. The count must equal the module's, or the channel fills
    beyond the cap that the module keeps: everything that one order causes is one line. So all uses that put a proxy on
    a table count once, and a line counts together with the `Out` of its server that follows it."""
    uses = sum(type(change) is Use for change in changes)
    implied_outs = sum(
        type(second) is Out and type(first) is Line and first.server == second.server
        for first, second in pairwise(changes)
    )
    return len(changes) - uses + (uses > 0) - implied_outs


class Hub:
    """Tables, levels and withdrawals as ordered, and each proxy's progress in them. `ack` returns the `Applied` events;
    `release` returns the proxies that have new changes."""

    def __init__(self, facts: face.StartFacts, run: str) -> None:
        """`run` names this run of the supervisor: versions of another run are not known here."""
        self.run, self.operations, self.default_tries = run, len(facts.operations), facts.default_tries or face.NO_TRY
        self.lines_per_message = facts.lines_per_message
        self.channel = Channel(facts.lines_per_second)
        self.max_records = MAX_RECORDS_PER_PROXY * max(64, facts.proxies)
        self.records: dict[int, ProxyRecord] = {}
        self.streams_opened = 0
        self.messages_sent = 0
        self.on_applied: Callable[[Message, float], object] | None = (
            None  # called for each acknowledged mark, for measurements
        )
        self._clear_orders()

    def switch(self, facts: face.StartFacts, now: float) -> None:
        """Switches to other facts; what waits in the channel leaves at the new rate from now on."""
        self.lines_per_message = facts.lines_per_message
        self.max_records = MAX_RECORDS_PER_PROXY * max(64, facts.proxies)
        self.channel.set_rate(facts.lines_per_second, now)

    def _clear_orders(self) -> None:
        self.tables: dict[int, dict[str, Line]] = {}
        self.levels: dict[tuple[int, int], Level] = {}
        self.out: set[str] = set()
        self.users: dict[int, dict[int, ProxyRecord]] = {}  # by table, in the order in which they were put on it
        self.fragments: dict[Change, bytes] = {}

    def restart(self) -> list[ProxyRecord]:
        """Discards all orders, since a new module has issued none; what proxies hold stays known. Returns the records
        of the joined proxies."""
        self.channel.drop(None)
        self._clear_orders()
        joined = [record for record in self.records.values() if record.joined]
        for record in joined:
            self._unbind(record)
        return joined

    # ---- proxies ----------------------------------------------------------------------------------------------

    def join(self, proxy: int, zone: int, run: str | None, version: int) -> tuple[ProxyRecord, bool]:
        """Begins a stream. Returns the record and whether an older stream was replaced. Raises Refused for a version of
        this run that was never sent to the proxy, or when no more proxies can be kept."""
        record = self.records.get(proxy)
        if run == self.run and (record is None or version > record.version):
            newest = record.version if record else 0
            raise Refused(409, f"version {version} of run {run} was never sent: the newest is {newest}")
        if record is None:
            self._evict_record()
            record = self.records[proxy] = ProxyRecord(proxy)
        replaced = record.joined
        if replaced:
            self.leave(proxy)
        self.streams_opened += 1
        record.zone, record.stream, record.joined = zone, f"{self.run}.{self.streams_opened}", True
        if run != self.run or version < record.first:
            # What the proxy holds is not known here: the first update that it gets is a full snapshot.
            record.held = {}
            record.log.clear()
            version = record.first = record.version
            record.base = record.version + 1
        record.acked, record.discarded_to = version, record.version
        return record, replaced

    def _evict_record(self) -> None:
        """Evicts the proxy that left longest ago if there is no room for another record. Raises Refused if all are
        joined."""
        if len(self.records) < self.max_records:
            return
        unjoined = next((p for p, record in self.records.items() if not record.joined), None)
        if unjoined is None:
            raise Refused(503, f"{self.max_records} proxies are joined and no more are kept; come back later")
        del self.records[unjoined]

    def leave(self, proxy: int) -> bool:
        """Ends a proxy's stream and drops what waits for it. Returns False if it was not joined."""
        record = self.records.get(proxy)
        if record is None or not record.joined:
            return False
        self._unbind(record)
        record.joined, record.stream = False, ""
        self.records[proxy] = self.records.pop(proxy)  # moved to the end: evicted last
        return True

    def _unbind(self, record: ProxyRecord) -> None:
        if record.pending:
            self.channel.drop(record.proxy)
        record.pending, record.bound = [], {}
        record.marks.clear()
        record.discarded_to = record.version
        for users in self.users.values():
            users.pop(record.proxy, None)

    def ack(self, record: ProxyRecord, version: int, now: float) -> list[face.Applied]:
        """Handles the version that a poll acknowledges as applied, and returns an event for each mark up to it. Raises
        Refused for a version that was never sent."""
        if version > record.version:
            raise Refused(409, f"version {version} was never sent; the newest is {record.version}")
        record.acked = version
        applied = []
        while record.marks and record.marks[0].version <= version:
            message = record.marks.popleft()
            applied.append(face.Applied(message.mark, record.proxy, now - message.ordered_at))
            if self.on_applied:
                self.on_applied(message, now)
        return applied

    # ---- orders -----------------------------------------------------------------------------------------------

    def apply(self, orders: list, now: float) -> None:
        """Applies the orders of one turn of the module, and queues one message for each proxy affected."""
        changes_by_proxy: dict[int, list[Change]] = {}
        mark: face.Mark | None = None
        for order in orders:
            apply_order = getattr(self, f"_apply_{type(order).__name__.lower()}", None)
            if apply_order is not None:
                apply_order(order, changes_by_proxy)
            elif isinstance(order, face.Mark):
                mark = order
        if mark is not None and mark.everyone:
            for record in self.records.values():
                if record.bound:
                    changes_by_proxy.setdefault(record.proxy, [])
        shared: dict[tuple[int, ...], tuple[tuple[Change, ...], bytes]] = {}
        for proxy, changes in changes_by_proxy.items():
            record = self.records[proxy]
            same = tuple(map(id, changes))
            if same not in shared:
                shared[same] = tuple(changes), b",".join(map(self._fragment, changes))
            cost = channel_cost(changes) + self.lines_per_message + (mark is not None)
            message = Message(proxy, record.stream, *shared[same], cost, mark.mark if mark else None, now)
            record.pending.append(message)
            self.channel.enqueue(message, now)

    def _fragment(self, change: Change) -> bytes:
        body = self.fragments.get(change)
        if body is None:
            if len(self.fragments) > 4096:
                self.fragments.clear()
            body = self.fragments[change] = encode_json(change)
        return body

    def _add_for_users(self, table: int, change: Change, changes_by_proxy: dict[int, list[Change]]) -> None:
        for proxy in self.users.get(table, ()):
            changes_by_proxy.setdefault(proxy, []).append(change)

    def _apply_setline(self, order: face.SetLine, changes_by_proxy: dict) -> None:
        line = Line(order.table, server_name(order.server), order.weight)
        if order.weight:
            self.tables.setdefault(order.table, {})[line.server] = line
        else:
            self.tables.get(order.table, {}).pop(line.server, None)
        self._add_for_users(order.table, line, changes_by_proxy)
        if line.server in self.out and order.weight:
            self._add_for_users(order.table, Out(line.server), changes_by_proxy)

    def _apply_cleartable(self, order: face.ClearTable, changes_by_proxy: dict) -> None:
        for server in self.tables.pop(order.table, {}):
            self._add_for_users(order.table, Line(order.table, server, 0.0), changes_by_proxy)
        for key in [key for key in self.levels if key[0] == order.table]:
            del self.levels[key]
            self._add_for_users(order.table, Level(*key, 2.0**30, self.default_tries), changes_by_proxy)

    def _apply_withdraw(self, order: face.Withdraw, changes_by_proxy: dict) -> None:
        server = server_name(order.server)
        (self.out.add if order.on else self.out.discard)(server)
        change = Out(server) if order.on else In(server)
        affected = {p: None for t, lines in self.tables.items() if server in lines for p in self.users.get(t, ())}
        for proxy in affected:
            changes_by_proxy.setdefault(proxy, []).append(change)

    def _apply_setlevel(self, order: face.SetLevel, changes_by_proxy: dict) -> None:
        for operation in range(self.operations):
            if order.operations == face.ALL_OPERATIONS or order.operations >> operation & 1:
                level = Level(order.table, operation, order.level, order.tries)
                self.levels[order.table, operation] = level
                if order.table == face.EVERY_TABLE:
                    for record in self.records.values():
                        if record.bound:
                            changes_by_proxy.setdefault(record.proxy, []).append(level)
                else:
                    self._add_for_users(order.table, level, changes_by_proxy)

    def _apply_usetable(self, order: face.UseTable, changes_by_proxy: dict) -> None:
        """Puts a proxy on a table, and queues the difference to what it is known to hold."""
        record = self.records.get(order.proxy)
        if record is None or not record.joined:
            return
        for operation in range(self.operations):
            if order.operations == face.ALL_OPERATIONS or order.operations >> operation & 1:
                record.bound[operation] = order.table
        for table, users in self.users.items():
            if table not in record.bound.values():
                users.pop(order.proxy, None)
        self.users.setdefault(order.table, {})[order.proxy] = record
        desired = self._desired_changes(record)
        current = dict(record.held)
        for message in record.pending:
            fold(current, message.changes)
        apply_changes(current, changes_by_proxy.get(order.proxy, ()))
        changes = changes_by_proxy.setdefault(order.proxy, [])
        for key, change in desired.items():
            if current.get(key) != change:
                changes.append(change)
        for key, change in current.items():
            if key not in desired:
                if key[0] == "line" and key[1] in record.bound.values():
                    changes.append(Line(change.table, change.server, 0.0))
                elif key[0] == "level" and (key[1] in record.bound.values() or key[1] == face.EVERY_TABLE):
                    changes.append(Level(change.table, change.operation, 2.0**30, self.default_tries))
                elif key[0] == "out":
                    changes.append(In(change.server))

    def _desired_changes(self, record: ProxyRecord) -> dict[tuple, Change]:
        tables = dict.fromkeys(record.bound.values())
        changes: list[Change] = [Use(operation, table) for operation, table in record.bound.items()]
        for table in tables:
            lines = self.tables.get(table, {})
            changes += lines.values()
            changes += [Out(server) for server in lines if server in self.out]
        changes += [level for key, level in self.levels.items() if key[0] in tables or key[0] == face.EVERY_TABLE]
        return {change.key: change for change in changes}

    # ---- updates ----------------------------------------------------------------------------------------------

    def release(self, now: float) -> list[ProxyRecord]:
        """Moves the messages that have left the channel into the versions of their proxies. Returns the records of the
        proxies that have new changes."""
        updated: dict[int, ProxyRecord] = {}
        for message in self.channel.release_due(now):
            record = self.records[message.proxy]
            record.pending.pop(0)
            record.version += 1
            message.version = record.version
            fold(record.held, message.changes)
            record.log.append(message)
            if len(record.log) > MAX_LOGGED_MESSAGES:
                record.first = record.log.popleft().version
            if message.mark is not None:
                record.marks.append(message)
            updated[message.proxy] = record
            self.messages_sent += 1
        return list(updated.values())

    def update_body(self, record: ProxyRecord, now: float | None = None) -> bytes | None:
        """Returns the body of the answer that brings a proxy from the version it has acknowledged to the newest one, or
        None if there is no change. `now`: when the answer is sent."""
        if record.version <= max(record.acked, record.discarded_to):
            return None
        unacked = [message for message in record.log if message.version > record.acked]
        # If a proxy left a table and returned to it between two polls, a merged delta would not show that the table was
        # dropped, and old lines of it would remain.
        table_changed = len(unacked) > 1 and any(
            type(change) is Use for message in unacked for change in message.changes
        )
        full = table_changed or record.acked < max(record.first, record.base)
        count = sum(len(message.changes) for message in unacked)
        # A proxy rejects a full snapshot that leaves it without a line. Such a change is sent as a delta that removes
        # each line, whenever a delta is possible.
        if full or (count > len(record.held) and any(key[0] == "line" for key in record.held)):
            full = True
            changes = b",".join(map(self._fragment, record.held.values()))
        elif len(unacked) == 1:
            changes = unacked[0].body
        else:
            latest = {change.key: change for message in unacked for change in message.changes}
            changes = b",".join(map(self._fragment, latest.values()))
        waited = max(message.released_at - message.ordered_at for message in unacked)
        lines = sum(message.cost for message in unacked)
        stood = b""
        if now is not None and (len(unacked) > 1 or unacked[0].released_at < now):
            # When each message waited in the channel, in seconds before now, so that merged answers can be summed.
            intervals = [[round(now - m.ordered_at, 6), round(now - m.released_at, 6), m.cost] for m in unacked]
            stood = b'"stood":%s,' % encode_json(intervals)
        return b'{"run":"%s","since":%d,"version":%d,"whole":%s,"waited":%.6f,"lines":%d,%s"changes":[%s]}' % (
            self.run.encode(),
            record.acked,
            record.version,
            b"true" if full else b"false",
            waited,
            lines,
            stood,
            changes,
        )

    def empty_update_body(self, record: ProxyRecord) -> bytes:
        """Returns the body of an answer without changes."""
        return b'{"run":"%s","since":%d,"version":%d,"whole":false,"changes":[]}' % (
            self.run.encode(),
            record.acked,
            record.acked,
        )
