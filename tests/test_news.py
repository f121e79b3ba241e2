"""Joined proxies as merged from two connections with notifications: random histories against a simple model."""

import json
from random import Random

import pytest

from driftshed import interface as face
from driftshed.node.notifications import MAX_LAG_S, NOTIFICATION_TIMEOUT_S, JoinState, NotificationReader
from driftshed.node.relay import ProtocolError
from tests.platforms import CODEC

PROXIES = 3
MIN_ABSENCE_S = 0.33  # the platform's minimum time from a proxy's leaving until it rejoins


def line(method: str, proxy: int | None = None, new: bool = True) -> bytes:
    params = {} if proxy is None else {"id": proxy}
    params |= {"site": "east", "rps": 2.0, "new": new} if method == "SUBSCRIBE" else {}
    return json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n"


class Relay:
    """The true state, which proxies are joined and since when, and the connections notified of it, each with a lag."""

    def __init__(self, random: Random, lag: float) -> None:
        self.random, self.lag = random, lag
        self.since: dict[int, float] = {}  # of each joined proxy
        self.connections: list[Connection] = []

    def toggle(self, proxy: int, now: float) -> None:
        if proxy in self.since:
            del self.since[proxy]
        else:
            self.since[proxy] = now
        for connection in self.connections:
            connection.put(line("SUBSCRIBE" if proxy in self.since else "CLOSED", proxy), now, proxy)


class Connection:
    """A connection with its lines in flight, in order, each with its time of arrival."""

    def __init__(self, relay: Relay, joins: JoinState, now: float) -> None:
        self.relay, self.reader = relay, NotificationReader(CODEC, joins)
        self.in_flight: list[tuple[float, bytes, int | None]] = []
        self.opened_at, self.stalled_until = now, 0.0
        self.put(b'{"id":1,"result":true}\n', now, None)
        for proxy in relay.since:
            self.put(line("SUBSCRIBE", proxy, new=False), now, None)
        self.put(line("ping"), now, None)

    def put(self, text: bytes, now: float, proxy: int | None) -> None:
        """`proxy`: the proxy that the line reports as joining or leaving; None for lines of the initial read and
        pings."""
        last = self.in_flight[-1][0] if self.in_flight else 0.0
        at = max(last, self.stalled_until, now + self.relay.random.uniform(0, self.relay.lag))
        self.in_flight.append((at, text, proxy))

    def receive(self, now: float) -> tuple[list, set[int]]:
        """The events, and the proxies that were reported as joining."""
        events, joined = [], set()
        while self.in_flight and self.in_flight[0][0] <= now:
            _, text, proxy = self.in_flight.pop(0)
            events += self.reader.feed(text, now)
            if proxy is not None and b"SUBSCRIBE" in text:
                joined.add(proxy)
        return events, joined


def run_history(seed: int, lag: float) -> tuple[int, int]:
    """Runs one history. Returns the number of events for the module and the number of true changes.

    Fails if a reported join of a proxy that is still joined has not reached the module, or if the joined proxies at the
    end are not the true ones."""
    random = Random(seed)
    relay, joins = Relay(random, lag), JoinState()
    connections: list[Connection | None] = [Connection(relay, joins, 0.0) for _ in range(2)]
    relay.connections = [connection for connection in connections if connection]
    may_rejoin_at: dict[int, float] = {}
    reconnect_at = [0.0, 0.0]
    received = changes = 0
    joined_at: dict[int, float] = {}  # when the module last received a proxy's join
    # Time of the true join that some connection has reported as a change.
    announced_since: dict[int, float] = {}
    now, next_ping, next_check = 0.0, 1.0, 1.0
    while now < 40.0:
        now += 0.02
        busy = now < 30.0
        if busy and random.random() < 0.04:
            proxy = random.randrange(PROXIES)
            if now >= may_rejoin_at.get(proxy, 0.0):
                relay.toggle(proxy, now)
                changes += 1
                if proxy not in relay.since:
                    may_rejoin_at[proxy] = now + MIN_ABSENCE_S + random.expovariate(2.0)
        for k, connection in enumerate(connections):
            if connection is None:
                if now >= reconnect_at[k]:
                    connections[k] = Connection(relay, joins, now)
            elif busy and random.random() < 0.004:  # it breaks and loses the lines in flight
                connections[k], reconnect_at[k] = None, now + random.choice([0.0, 0.0, 0.02, 0.3])
            elif busy and random.random() < 0.002:  # it stalls, and later lines arrive late
                connection.stalled_until = now + random.uniform(0.0, 2 * NOTIFICATION_TIMEOUT_S)
        relay.connections = [connection for connection in connections if connection]
        if now >= next_ping:
            next_ping += 1.0
            for connection in relay.connections:
                connection.put(line("ping"), now, None)
        events = []
        for connection in relay.connections:
            more, joined = connection.receive(now)
            events += more
            announced_since |= {proxy: relay.since[proxy] for proxy in joined if proxy in relay.since}
        if now >= next_check:
            next_check += 1.0
            for k, connection in enumerate(connections):
                if (
                    connection
                    and now - max(connection.opened_at, connection.reader.received_at) > NOTIFICATION_TIMEOUT_S
                ):
                    connections[k], reconnect_at[k] = None, now
                elif connection:
                    events += connection.reader.reconcile()
            relay.connections = [connection for connection in connections if connection]
        received += len(events)
        for event in events:
            if isinstance(event, face.Joined):
                joined_at[event.proxy] = now
    assert sorted(joins.joined) == sorted(relay.since)
    for proxy, since in relay.since.items():
        if announced_since.get(proxy) == since:  # reported by a connection, so it must have reached the module
            assert joined_at[proxy] >= since, (proxy, since, joined_at[proxy])
    return received, changes


@pytest.mark.parametrize("lag", [0.0, 0.05, 0.3])
def test_random_histories_of_two_connections_end_in_the_true_state(lag):
    received = changes = 0
    for seed in range(400):
        one = run_history(seed, lag)
        received, changes = received + one[0], changes + one[1]
    assert changes > 5000
    # A repeated event costs a binding: few are allowed with lag; without it only broken connections may cause them.
    assert received < changes * (1.02 + lag)


def synced_reader(joins: JoinState, now: float, *lines: bytes) -> tuple[NotificationReader, list]:
    reader = NotificationReader(CODEC, joins)
    return reader, reader.feed(b'{"id":1,"result":true}\n' + b"".join(lines), now)


def test_a_connection_opened_while_another_lagged_by_two_is_followed_alone():
    joins = JoinState()
    first, _ = synced_reader(joins, 0.0, line("SUBSCRIBE", 1), line("ping"))
    # The proxy leaves and rejoins. The second connection is opened then, before the first has reported it.
    second, _ = synced_reader(joins, 1.0, line("SUBSCRIBE", 1, new=False), line("ping"))
    assert [type(e).__name__ for e in first.feed(line("CLOSED", 1) + line("SUBSCRIBE", 1), 1.1)] == ["Left", "Joined"]
    # The first breaks. What the second reports now is new and must reach the module.
    later = 1.2 + MAX_LAG_S
    events = second.feed(line("CLOSED", 1) + line("SUBSCRIBE", 1), later)
    assert [type(event).__name__ for event in events] == ["Left", "Joined"]


def test_a_join_seen_by_one_connection_is_revoked_only_by_a_live_other():
    joins = JoinState()
    first, _ = synced_reader(joins, 0.0, line("ping"))
    second, _ = synced_reader(joins, 0.0, line("ping"))
    assert len(first.feed(line("SUBSCRIBE", 1), 1.0)) == 1
    assert second.reconcile() == [] and 1 in joins.joined  # it has sent nothing since and may itself be cut off
    second.feed(line("ping"), 1.5)
    assert second.reconcile() == []
    second.feed(line("ping"), 1.1 + MAX_LAG_S)
    assert second.reconcile() == [face.Left(1)] and not joins.joined


def test_events_before_a_malformed_line_are_delivered():
    joins = JoinState()
    reader, _ = synced_reader(joins, 0.0, line("ping"))
    with pytest.raises(ProtocolError) as raised:
        reader.feed(line("SUBSCRIBE", 2) + b"?\n" + line("SUBSCRIBE", 3), 1.0)
    assert [event.proxy for event in raised.value.args[1]] == [2] and sorted(joins.joined) == [2]
