"""The core without sockets: versions and deltas against a plain model, the channel's pace, sums, roster, instance."""

from random import Random

import msgspec
import pytest

from driftshed import interface as face
from driftshed.adapter.codec import encode_reply
from driftshed.adapter.loop import Host
from driftshed.brain import Brain
from driftshed.core.channel import Channel, Message
from driftshed.core.holding import fold, lines_of
from driftshed.core.hub import MAX_LOGGED_MESSAGES, Hub, Refused
from driftshed.core.instance import Instance
from driftshed.core.messages import (
    Changes,
    Join,
    Line,
    ListedServer,
    Out,
    Report,
    RosterNews,
    ServerReport,
    Use,
    server_id,
    server_name,
)
from driftshed.core.sums import Sums
from driftshed.proxy.tables import Tables
from tests.helpers import World, server

FACTS = World().facts._replace(kinds=("standard",))
NEWS = msgspec.json.Decoder(Changes)


class Holder:
    """A proxy as plainly as can be: holds what it was last told, and says so when it comes back."""

    def __init__(self, number: int) -> None:
        self.number, self.held, self.run, self.version, self.record = number, {}, None, 0, None

    def join(self, hub: Hub, remembers: bool = True) -> None:
        if not remembers:
            self.held, self.run, self.version = {}, None, 0
        try:
            self.record, _ = hub.join(self.number, 0, self.run, self.version)
        except Refused:
            self.run, self.version = None, 0
            self.record, _ = hub.join(self.number, 0, None, 0)
        if self.run != hub.run:
            self.run, self.version = hub.run, self.record.acked

    def poll(self, hub: Hub, now: float, lost: bool = False) -> list:
        applied = hub.ack(self.record, self.version, now)
        body = hub.news(self.record)
        if body is not None and not lost:
            changes = NEWS.decode(body)
            assert changes.since == self.version < changes.version
            fold(self.held, changes.changes, changes.whole)
            self.version = changes.version
        return applied


class Plain:
    """What orders bring about, without versions, pace or loss."""

    def __init__(self) -> None:
        self.tables, self.levels, self.out, self.uses = {}, {}, set(), {}

    def take(self, order) -> None:
        if isinstance(order, face.SetLine):
            self.tables.setdefault(order.table, {})[order.server] = order.weight
        elif isinstance(order, face.Withdraw):
            (self.out.add if order.on else self.out.discard)(order.server)
        elif isinstance(order, face.SetLevel):
            self.levels[order.table, order.operations.bit_length() - 1] = (order.level, order.tries)
        elif isinstance(order, face.UseTable):
            self.uses[order.proxy] = order.table

    def lines(self, proxy: int) -> dict[str, float]:
        lines = self.tables.get(self.uses[proxy], {})
        return {server_name(s): weight for s, weight in lines.items() if weight and s not in self.out}


@pytest.mark.parametrize("seed", range(60))
def test_whatever_is_lost_a_proxy_ends_with_the_tables_as_ordered(seed):
    random, hub, plain, now = Random(seed), Hub(FACTS, "run"), Plain(), 0.0
    holders, joined, mark = [Holder(n) for n in range(4)], set(), 0
    for _ in range(300):
        now += random.random() * 0.1
        dice, holder = random.random(), random.choice(holders)
        if dice < 0.02 and holder.number not in joined:  # it was with another supervisor meanwhile
            holder.run, holder.version = "elsewhere", random.randrange(50)
            strays = [Line(0, "10.9.9.9:80", 1.0), Line(1, "10.9.9.8:80", 1.0), Out(server_name(server(2))), Use(1, 1)]
            holder.held = {change.key: change for change in strays}
        elif dice < 0.1 and holder.number not in joined:
            holder.join(hub, remembers=random.random() < 0.8)
            joined.add(holder.number)
        elif dice < 0.16 and holder.number in joined:
            hub.leave(holder.number)
            plain.uses.pop(holder.number, None)
            joined.discard(holder.number)
        elif dice < 0.18:
            for record in hub.restart():
                plain.uses.pop(record.proxy, None)
            plain.tables, plain.levels, plain.out = {}, {}, set()
        elif dice < 0.55:
            orders = []
            for _ in range(random.randint(1, 6)):
                kind, who = random.random(), server(random.randrange(6))
                if kind < 0.5:
                    orders.append(face.SetLine(who, random.choice([0.0, 0.5, 1.0]), random.randrange(2)))
                elif kind < 0.65:
                    orders.append(face.Withdraw(random.random() < 0.5, who))
                elif kind < 0.8:
                    operation = 1 << random.randrange(3)
                    orders.append(face.SetLevel(random.randrange(2), random.random(), operation, random.randrange(3)))
                elif joined:
                    orders.append(face.UseTable(0, random.randrange(2), random.choice(sorted(joined))))
            mark += 1
            for order in orders:
                plain.take(order)
            hub.apply([*orders, face.Mark(False, mark)], now)
        hub.release(now)
        if holder.number in joined:
            holder.poll(hub, now, lost=random.random() < 0.3)
    hub.release(now + 1e6)
    for holder in holders:
        if holder.number in joined and holder.number in plain.uses:
            holder.poll(hub, now + 1e6)
            table = plain.uses[holder.number]
            for operation in range(3):
                assert lines_of(holder.held, operation) == plain.lines(holder.number)
                level = holder.held.get(("level", table, operation))
                if (table, operation) in plain.levels:
                    assert (level.level, level.tries) == plain.levels[table, operation]
                else:
                    assert level is None or level.level > 1
            assert holder.poll(hub, now + 1e6) is not None and not holder.record.marks  # every mark is answered


def hub_with(lines: int = 118, proxies: int = 1) -> tuple[Hub, list[Holder]]:
    hub, holders = Hub(FACTS, "run"), [Holder(n) for n in range(proxies)]
    for holder in holders:
        holder.join(hub)
    orders = [face.SetLine(bytes([10, 0, n // 250, n % 250, 31, 64]), 1.0, 0) for n in range(lines)]
    hub.apply([*orders, *(face.UseTable(0, 0, holder.number) for holder in holders), face.Mark(False, 1)], 0.0)
    hub.release(1e6)
    for holder in holders:
        holder.poll(hub, 1e6)
    return hub, holders


def test_one_changed_line_of_many_is_a_small_delta():
    hub, (holder,) = hub_with()
    whole = len(hub.news(holder.record))
    assert holder.poll(hub, 1e6) == [face.Applied(1, 0, 1e6)] and hub.news(holder.record) is None
    hub.apply([face.SetLine(bytes([10, 0, 0, 7, 31, 64]), 0.5, 0), face.Mark(False, 2)], 2e6)
    hub.release(3e6)
    news = NEWS.decode(hub.news(holder.record))
    assert not news.whole and len(news.changes) == 1 and news.changes[0].weight == 0.5
    assert len(hub.news(holder.record)) < whole / 20


def test_a_delta_longer_than_the_whole_or_no_longer_kept_is_the_whole():
    hub, (holder,) = hub_with(lines=4)
    for k in range(MAX_LOGGED_MESSAGES + 5):
        hub.apply([face.SetLine(bytes([10, 0, 0, k % 4, 31, 64]), 1 + k / 100, 0)], 2e6 + k)
        hub.release(3e6 + k)
    news = NEWS.decode(hub.news(holder.record))
    assert news.whole and len(news.changes) == 4 + 3
    fold(holder.held, news.changes, news.whole)
    assert len(lines_of(holder.held, 0)) == 4


def test_what_one_order_says_counts_one_line_in_the_channel():
    """Two of a lab's findings: proxies put on a table, and lines of servers that are out, filled the channel over its
    cap, since they counted more there than the module, which keeps the cap, was told."""
    hub, (holder,) = hub_with(lines=3)
    joining = hub.messages_sent and FACTS.lines_per_message + 1 + 3 + 1  # head, mark, lines, and its table
    assert holder.record.log[0].cost == joining
    hub.apply([face.SetLine(server(9), 0.0, 0), face.Withdraw(True, server(9))], 2e6)
    hub.release(3e6)
    before = hub.channel.waiting
    hub.apply([face.SetLine(server(9), 1.0, 0), face.Mark(False, 2)], 4e6)
    (message,) = hub.channel.queue
    assert message.changes == (Line(0, server_name(server(9)), 1.0), Out(server_name(server(9))))
    assert hub.channel.waiting - before == 1 + FACTS.lines_per_message + 1


def test_the_end_of_every_line_is_told_line_by_line_and_taken():
    """A lab's finding: a lost zone's proxies were sent a whole set without a line, turned it down, joined anew, and
    went by the lines to what had gone until there was something else to tell."""
    hub, (holder,) = hub_with(lines=3)
    holder.poll(hub, 1e6)
    tables = Tables(3, "weighted", "share", 0, [], Random(1))
    tables.run = "run"
    tables.take(Changes("run", 0, holder.version, True, list(holder.held.values())), 0.0)
    for k in range(3):  # more changes than what is held in the end
        hub.apply([face.SetLine(bytes([10, 0, 0, n, 31, 64]), 0.0 if k == 2 else 1 + k / 8, 0) for n in range(3)], 2e6)
    hub.release(3e6)
    news = NEWS.decode(hub.news(holder.record))
    assert not news.whole
    tables.take(news, 0.0)
    assert tables.lines(0) == 0


def test_what_was_lost_with_a_stream_is_not_told_until_the_proxy_is_on_a_table_again():
    # Guards against an old line to a server that drained while the proxy was away.
    hub, (holder,) = hub_with(lines=3)
    hub.apply([face.SetLine(server(9), 1.0, 0)], 2e6)
    hub.release(3e6)
    hub.leave(0)
    hub.apply([face.SetLine(server(9), 0.0, 0)], 4e6)  # it drains; nobody is joined to hear it
    holder.join(hub)
    assert holder.poll(hub, 5e6) == [] and hub.news(holder.record) is None
    hub.apply([face.UseTable(0, 0, 0)], 5e6)
    hub.release(6e6)
    holder.poll(hub, 6e6)
    assert server_name(server(9)) not in lines_of(holder.held, 0) and len(lines_of(holder.held, 0)) == 3


def test_a_table_left_and_taken_up_again_between_two_polls_keeps_no_old_line():
    orders = [face.SetLine(server(9), 1.0, 1), face.UseTable(0, 1, 0), face.SetLine(server(0), 0.0, 0)]
    orders.append(face.UseTable(0, 0, 0))
    for replies in ([[order] for order in orders], [orders]):
        hub, (holder,) = hub_with(lines=30)
        for reply in replies:
            hub.apply(reply, 2e6)
        hub.release(3e6)
        holder.poll(hub, 3e6)
        assert len(lines_of(holder.held, 0)) == 29 and server_name(server(0)) not in lines_of(holder.held, 0)


def test_versions_from_the_future_are_refused():
    hub, (holder,) = hub_with(lines=3)
    with pytest.raises(Refused, match="was never sent"):
        hub.ack(holder.record, holder.version + 1, 1.0)
    with pytest.raises(Refused, match="was never sent"):
        hub.join(0, 0, "run", 99)
    with pytest.raises(Refused, match="was never sent"):
        hub.join(55, 0, "run", 0)
    assert holder.record.joined


def test_strangers_are_forgotten_and_the_joined_never_are():
    hub, _ = hub_with(lines=1)
    for n in range(1, 3 * hub.max_records):
        hub.join(n, 0, None, 0)
        hub.leave(n)
    assert len(hub.records) <= hub.max_records and hub.records[0].joined
    for n in range(1, hub.max_records):
        hub.join(n, 0, None, 0)
    with pytest.raises(Refused, match="come back later"):
        hub.join(60000, 0, None, 0)


@pytest.mark.parametrize("seed", range(20))
def test_the_channel_keeps_its_pace_and_order(seed):
    random, channel, now, sent = Random(seed), Channel(100.0), 0.0, []
    put = []
    for _ in range(200):
        now += random.random() * 0.2
        if random.random() < 0.5:
            message = Message(random.randrange(3), "", (), b"", random.randint(1, 20), None, now)
            put.append(message)
            channel.enqueue(message, now)
        elif random.random() < 0.1:
            channel.drop(1)
            put = [message for message in put if message.proxy != 1 or message in sent]
        sent += channel.release_due(now)
        assert channel.waiting == sum(message.cost for message in put if message not in sent)
        assert sum(message.cost for message in sent) <= 100.0 * now + 1e-6
    sent += channel.release_due(now + 1e6)
    assert sent == put


def test_sums_are_capped_the_oldest_first_and_lose_nothing():
    sums, told = Sums(10.0), []
    for step in range(40):
        for n in range(30):
            sums.add_server_report(step * 0.5, 0, server(n), 4, 1, 0.1, None)
        events = sums.release_events(step * 0.5, 0.5)
        assert len(events) <= 10
        told.append(events)
    order = [event.server for events in told[:6] for event in events]
    assert order[:30] == [server(n) for n in range(30)]
    rest = [event for _ in range(40) for event in sums.release_events(1000.0 + _, 0.5)]
    assert sum(event.tries for event in [*sum(told, []), *rest]) == 40 * 30 * 4
    assert all(abs(event.latency - 0.1) < 1e-9 and event.errored * 4 == event.tries for event in rest)


@pytest.mark.parametrize("bad", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.300:80", "a:b", "1.2.3.4:-5"])
def test_bad_server_names_are_refused(bad):
    with pytest.raises(ValueError, match="an IPv4 address, a colon and a port"):
        server_id(bad)
    assert server_name(server_id("10.1.2.3:8000")) == "10.1.2.3:8000"


def news(version: int, whole: bool, *numbers: int, state: str = "ready", started: float | None = None) -> RosterNews:
    zones = ("east", "west")
    return RosterNews(
        version, whole, [ListedServer(f"10.0.0.{n}:80", zones[n % 2], FACTS.kinds[0], state, started) for n in numbers]
    )


def make_instance(**more) -> Instance:
    return Instance(FACTS, 7, "run", 0.0, **more)


def test_roster_news_that_does_not_follow_or_names_the_unknown_changes_nothing():
    instance = make_instance()
    with pytest.raises(Refused, match="send the whole list"):
        instance.hear_roster(news(5, False, 1))
    instance.hear_roster(news(5, True, 1, 2))
    odd = news(6, False, 3, state="odd")
    for bad, why in ((news(7, False, 3), "does not follow"), (news(6, False, 3, 3), "twice"), (odd, "state")):
        with pytest.raises(Refused, match=why):
            instance.hear_roster(bad)
    assert instance.roster.version == 5 and len(instance.roster.entries) == 2 and len(instance.news) == 1
    instance.hear_roster(news(6, False, 2, state="gone"))
    assert len(instance.roster.entries) == 1


def play(instance: Instance, seconds: float, holders: list[Holder], broken: set = frozenset()) -> None:
    """Proxies that poll and report for so long, every 0.1 s."""
    began = round(instance.recent_batches[-1][0] if instance.recent_batches else 0.0, 3)
    for k in range(1, int(seconds * 10) + 1):
        now = began + k / 10
        for holder in holders:
            instance.ack(holder.record, holder.version, now)
            holder.poll(instance.hub, now)
            met = [
                ServerReport(name, 3, 3 * (name in broken), None if name in broken else 0.1)
                for name in lines_of(holder.held, 0)
            ]
            instance.report(holder.record, Report(holder.record.stream, met, []), now)
        instance.turn(now)


def joined_instance(proxies: int = 4, **more) -> tuple[Instance, list[Holder]]:
    instance = make_instance(**more)
    instance.hear_roster(news(1, True, *range(1, 10)))
    holders = [Holder(n) for n in range(proxies)]
    for n, holder in enumerate(holders):
        holder.record, _ = instance.join(n, Join(("east", "west")[n % 2], 5.0), 0.0)
        holder.run = "run"
    instance.turn(0.0)
    return instance, holders


def test_the_module_withdraws_through_the_instance_and_why_is_told():
    instance, holders = joined_instance()
    play(instance, 4.0, holders)
    play(instance, 5.0, holders, broken={"10.0.0.3:80"})
    assert "10.0.0.3:80" in instance.hub.out
    assert all("10.0.0.3:80" not in lines_of(holder.held, 0) for holder in holders)
    assert "erred" in instance.why["10.0.0.3:80"][1]


def test_a_module_that_raises_is_told_with_its_events_and_begins_anew_while_proxies_keep_their_tables():
    class Faulty(Brain):
        faults = 0

        def handle(self, now, events):
            if now > 2.0 and not Faulty.faults:
                Faulty.faults += 1
                raise KeyError("broken")
            return super().handle(now, events)

    instance, holders = joined_instance(brain=Faulty)
    faults = []
    instance.on_fault = faults.append
    play(instance, 1.9, holders)
    before = [dict(holder.held) for holder in holders]
    instance.turn(2.1)
    assert len(faults) == 1 and "KeyError" in faults[0].error and faults[0].turns[-1][0] == 2.1
    assert [holder.held for holder in holders] == before and not instance.hub.tables
    play(instance, 3.0, holders)
    assert all(len(lines_of(holder.held, 0)) == 9 for holder in holders) and instance.faults == 1


def test_one_recorded_sequence_brings_the_same_orders_in_supervisor_and_bench():
    instance, holders = joined_instance()
    recorded = []
    instance.on_turn = lambda now, events, orders: recorded.append((now, list(events), list(orders)))
    instance.brain = Brain(instance.facts, 7, 0.1)
    instance.news = [instance.roster.told(), *(face.Joined(n % 2, True, n, 5.0) for n in range(4))]
    instance.hub.restart()
    play(instance, 12.0, holders, broken={"10.0.0.5:80"})
    host, kinds = Host(), set()
    recorded[0][1].insert(0, face.Start(7, instance.facts))
    for now, events, orders in recorded:
        answered = host.play(now, [(0, event) for event in events])
        assert encode_reply(answered) == encode_reply([(0, order) for order in orders])
        kinds |= {type(order) for order in orders}
    assert {face.SetLine, face.Withdraw, face.UseTable, face.SetLevel, face.Mark} <= kinds and len(recorded) > 50
