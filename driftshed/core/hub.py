"""What is published: the module's orders become, proxy by proxy, messages, versions and deltas between them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import pairwise

from driftshed import interface as face
from driftshed.core.channel import Channel, Message
from driftshed.core.holding import fold, put
from driftshed.core.messages import Change, In, Level, Line, Out, Use, encode, server_name

KEPT_MESSAGES = 64  # of each proxy, for deltas; behind them the whole is sent
KEPT_STRANGERS = 4  # for each proxy of the deployment: records of proxies that are not joined


class Refused(Exception):
    """What a proxy asked cannot be done; `status` is HTTP's."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Record:
    """One proxy as the supervisor knows it. `held`: what it holds once it has applied all that was released."""

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
        "silent_to",
        "pending",
        "base",
        "rate",
    )

    def __init__(self, proxy: int) -> None:
        self.proxy, self.zone, self.rate, self.stream, self.joined = proxy, 0, 0.0, "", False
        self.bound: dict[int, int] = {}  # table by operation; empty until it is put on one
        self.held: dict[tuple, Change] = {}
        self.log: deque[Message] = deque()
        self.first = self.version = self.acked = 0  # the log begins behind `first`
        self.marks: deque[Message] = deque()  # released with a mark that is not answered yet
        # Up to this version nothing is told: it is what came to nothing with the last stream.
        self.silent_to = 0
        self.pending: list[Message] = []  # in the channel
        # From this version on what it holds is known; one that acknowledges an earlier one is sent the whole.
        self.base = 1


def lines_in(changes: list[Change]) -> int:
    """What changes count in the channel. Guards against a channel fuller than the module was told: what one order says
    is one line, so all that puts a proxy on a table is, and a line with the word that its server is out."""
    uses = sum(type(change) is Use for change in changes)
    told_out = sum(
        type(second) is Out and type(first) is Line and first.server == second.server
        for first, second in pairwise(changes)
    )
    return len(changes) - uses + (uses > 0) - told_out


class Hub:
    """Tables, levels and withdrawals as ordered, and what each proxy has of them. `applied` events come out of
    `ack`; `released` names the proxies that have something new."""

    def __init__(self, facts: face.StartFacts, run: str) -> None:
        self.run, self.operations, self.tries = run, len(facts.operations), facts.default_tries or face.NO_TRY
        self.head = facts.lines_per_message
        self.channel = Channel(facts.lines_per_second)
        self.most_records = KEPT_STRANGERS * max(64, facts.proxies)
        self.records: dict[int, Record] = {}
        self.streams = 0
        self.messages_sent = 0
        self.on_applied: Callable[[Message, float], object] | None = None  # for measurements
        self._forget_orders()

    def switch(self, facts: face.StartFacts, now: float) -> None:
        """Goes by other facts; what waits in the channel goes at the new pace from now on."""
        self.head = facts.lines_per_message
        self.most_records = KEPT_STRANGERS * max(64, facts.proxies)
        self.channel.change_pace(facts.lines_per_second, now)

    def _forget_orders(self) -> None:
        self.tables: dict[int, dict[str, Line]] = {}
        self.levels: dict[tuple[int, int], Level] = {}
        self.out: set[str] = set()
        self.users: dict[int, dict[int, Record]] = {}  # by table, in the order of their joining
        self.fragments: dict[Change, bytes] = {}

    def restart(self) -> list[Record]:
        """The module begins anew: it has ordered nothing yet. What proxies hold stays known. The joined ones."""
        self.channel.drop(None)
        self._forget_orders()
        joined = [record for record in self.records.values() if record.joined]
        for record in joined:
            self._unbind(record)
        return joined

    # ---- proxies ----------------------------------------------------------------------------------------------

    def join(self, proxy: int, zone: int, run: str | None, version: int) -> tuple[Record, bool]:
        """Begins a stream; the record, and whether an older stream was replaced. Refused: a version of this run
        that it never had, or more proxies than are kept."""
        record = self.records.get(proxy)
        if run == self.run and (record is None or version > record.version):
            newest = record.version if record else 0
            raise Refused(409, f"version {version} of run {run} was never sent: the newest is {newest}")
        if record is None:
            self._make_room()
            record = self.records[proxy] = Record(proxy)
        replaced = record.joined
        if replaced:
            self.leave(proxy)
        self.streams += 1
        record.zone, record.stream, record.joined = zone, f"{self.run}.{self.streams}", True
        if run != self.run or version < record.first:
            # It holds what is not known here: it is sent the whole once there is something.
            record.held = {}
            record.log.clear()
            version = record.first = record.version
            record.base = record.version + 1
        record.acked, record.silent_to = version, record.version
        return record, replaced

    def _make_room(self) -> None:
        if len(self.records) < self.most_records:
            return
        stranger = next((p for p, record in self.records.items() if not record.joined), None)
        if stranger is None:
            raise Refused(503, f"{self.most_records} proxies are joined and no more are kept; come back later")
        del self.records[stranger]

    def leave(self, proxy: int) -> bool:
        """Ends a proxy's stream: what waits for it is dropped. False where it was not joined."""
        record = self.records.get(proxy)
        if record is None or not record.joined:
            return False
        self._unbind(record)
        record.joined, record.stream = False, ""
        self.records[proxy] = self.records.pop(proxy)  # the last to be forgotten
        return True

    def _unbind(self, record: Record) -> None:
        if record.pending:
            self.channel.drop(record.proxy)
        record.pending, record.bound = [], {}
        record.marks.clear()
        record.silent_to = record.version
        for users in self.users.values():
            users.pop(record.proxy, None)

    def ack(self, record: Record, version: int, now: float) -> list[face.Applied]:
        """A poll says which version the proxy has applied."""
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
        """Takes one reply of the module: one message for each proxy concerned."""
        said: dict[int, list[Change]] = {}
        mark: face.Mark | None = None
        for order in orders:
            take = getattr(self, f"_take_{type(order).__name__.lower()}", None)
            if take is not None:
                take(order, said)
            elif isinstance(order, face.Mark):
                mark = order
        if mark is not None and mark.everyone:
            for record in self.records.values():
                if record.bound:
                    said.setdefault(record.proxy, [])
        shared: dict[tuple[int, ...], tuple[tuple[Change, ...], bytes]] = {}
        for proxy, changes in said.items():
            record = self.records[proxy]
            same = tuple(map(id, changes))
            if same not in shared:
                shared[same] = tuple(changes), b",".join(map(self._fragment, changes))
            cost = lines_in(changes) + self.head + (mark is not None)
            message = Message(proxy, record.stream, *shared[same], cost, mark.mark if mark else None, now)
            record.pending.append(message)
            self.channel.put(message, now)

    def _fragment(self, change: Change) -> bytes:
        body = self.fragments.get(change)
        if body is None:
            if len(self.fragments) > 4096:
                self.fragments.clear()
            body = self.fragments[change] = encode(change)
        return body

    def _tell_users(self, table: int, change: Change, said: dict[int, list[Change]]) -> None:
        for proxy in self.users.get(table, ()):
            said.setdefault(proxy, []).append(change)

    def _take_setline(self, order: face.SetLine, said: dict) -> None:
        line = Line(order.table, server_name(order.server), order.weight)
        if order.weight:
            self.tables.setdefault(order.table, {})[line.server] = line
        else:
            self.tables.get(order.table, {}).pop(line.server, None)
        self._tell_users(order.table, line, said)
        if line.server in self.out and order.weight:
            self._tell_users(order.table, Out(line.server), said)

    def _take_cleartable(self, order: face.ClearTable, said: dict) -> None:
        for server in self.tables.pop(order.table, {}):
            self._tell_users(order.table, Line(order.table, server, 0.0), said)
        for key in [key for key in self.levels if key[0] == order.table]:
            del self.levels[key]
            self._tell_users(order.table, Level(*key, 2.0**30, self.tries), said)

    def _take_withdraw(self, order: face.Withdraw, said: dict) -> None:
        server = server_name(order.server)
        (self.out.add if order.on else self.out.discard)(server)
        change = Out(server) if order.on else In(server)
        concerned = {p: None for t, lines in self.tables.items() if server in lines for p in self.users.get(t, ())}
        for proxy in concerned:
            said.setdefault(proxy, []).append(change)

    def _take_setlevel(self, order: face.SetLevel, said: dict) -> None:
        for operation in range(self.operations):
            if order.operations == face.ALL_OPERATIONS or order.operations >> operation & 1:
                level = Level(order.table, operation, order.level, order.tries)
                self.levels[order.table, operation] = level
                if order.table == face.EVERY_TABLE:
                    for record in self.records.values():
                        if record.bound:
                            said.setdefault(record.proxy, []).append(level)
                else:
                    self._tell_users(order.table, level, said)

    def _take_usetable(self, order: face.UseTable, said: dict) -> None:
        """Puts a proxy on a table: it is told the difference to what it is known to hold."""
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
        wanted = self._wanted(record)
        present = dict(record.held)
        for message in record.pending:
            fold(present, message.changes)
        put(present, said.get(order.proxy, ()))
        changes = said.setdefault(order.proxy, [])
        for key, change in wanted.items():
            if present.get(key) != change:
                changes.append(change)
        for key, change in present.items():
            if key not in wanted:
                if key[0] == "line" and key[1] in record.bound.values():
                    changes.append(Line(change.table, change.server, 0.0))
                elif key[0] == "level" and (key[1] in record.bound.values() or key[1] == face.EVERY_TABLE):
                    changes.append(Level(change.table, change.operation, 2.0**30, self.tries))
                elif key[0] == "out":
                    changes.append(In(change.server))

    def _wanted(self, record: Record) -> dict[tuple, Change]:
        tables = dict.fromkeys(record.bound.values())
        changes: list[Change] = [Use(operation, table) for operation, table in record.bound.items()]
        for table in tables:
            lines = self.tables.get(table, {})
            changes += lines.values()
            changes += [Out(server) for server in lines if server in self.out]
        changes += [level for key, level in self.levels.items() if key[0] in tables or key[0] == face.EVERY_TABLE]
        return {change.key: change for change in changes}

    # ---- what leaves ------------------------------------------------------------------------------------------

    def release(self, now: float) -> list[Record]:
        """Moves what the channel lets go into the proxies' versions; the proxies that have something new."""
        new: dict[int, Record] = {}
        for message in self.channel.due(now):
            record = self.records[message.proxy]
            record.pending.pop(0)
            record.version += 1
            message.version = record.version
            fold(record.held, message.changes)
            record.log.append(message)
            if len(record.log) > KEPT_MESSAGES:
                record.first = record.log.popleft().version
            if message.mark is not None:
                record.marks.append(message)
            new[message.proxy] = record
            self.messages_sent += 1
        return list(new.values())

    def news(self, record: Record, now: float | None = None) -> bytes | None:
        """The body of the answer that brings a proxy from what it has acknowledged to now; None without news."""
        if record.version <= max(record.acked, record.silent_to):
            return None
        since = [message for message in record.log if message.version > record.acked]
        # Guards against lines of a table that was left and taken up again between two polls: who sees both at once
        # does not see that it was dropped.
        moved = len(since) > 1 and any(type(change) is Use for message in since for change in message.changes)
        whole = moved or record.acked < max(record.first, record.base)
        count = sum(len(message.changes) for message in since)
        # Guards against a whole set that a proxy must take for a mistake: one that leaves it without a line is told as
        # what ends, line by line, whenever that can be told.
        if whole or (count > len(record.held) and any(key[0] == "line" for key in record.held)):
            whole = True
            changes = b",".join(map(self._fragment, record.held.values()))
        elif len(since) == 1:
            changes = since[0].body
        else:
            latest = {change.key: change for message in since for change in message.changes}
            changes = b",".join(map(self._fragment, latest.values()))
        waited = max(message.released_at - message.ordered_at for message in since)
        lines = sum(message.cost for message in since)
        stood = b""
        if now is not None and (len(since) > 1 or since[0].released_at < now):
            # When each stood in the channel, in seconds before now: merged answers could not be added up without it.
            stretches = [[round(now - m.ordered_at, 6), round(now - m.released_at, 6), m.cost] for m in since]
            stood = b'"stood":%s,' % encode(stretches)
        return b'{"run":"%s","since":%d,"version":%d,"whole":%s,"waited":%.6f,"lines":%d,%s"changes":[%s]}' % (
            self.run.encode(),
            record.acked,
            record.version,
            b"true" if whole else b"false",
            waited,
            lines,
            stood,
            changes,
        )

    def no_news(self, record: Record) -> bytes:
        return b'{"run":"%s","since":%d,"version":%d,"whole":false,"changes":[]}' % (
            self.run.encode(),
            record.acked,
            record.acked,
        )
