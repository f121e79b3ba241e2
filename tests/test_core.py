"""The core without sockets: versions and deltas against a reference model, the channel's rate, sums, roster,
instance."""

from random import Random

import msgspec
import pytest

from driftshed import interface as face
from driftshed.adapter.codec import encode_reply
from driftshed.adapter.loop import InstanceHost
from driftshed.brain import Brain
from driftshed.core.channel import Channel, Message
from driftshed.core.hub import MAX_LOGGED_MESSAGES, Hub, Refused
from driftshed.core.instance import Instance
from driftshed.core.messages import (
    Changes,
    Join,
    Line,
    ListedServer,
    Out,
    Report,
    RosterUpdate,
    ServerReport,
    Use,
    server_id,
    server_name,
)
from driftshed.core.proxy_state import fold, lines_of
from driftshed.core.sums import Sums
from driftshed.proxy.tables import Tables
from tests.helpers import SimulatedFleet, server

FACTS = SimulatedFleet().facts._replace(kinds=("standard",))
CHANGES_DECODER = msgspec.json.Decoder(Changes)


class ModelProxy:
    """A minimal proxy: holds the changes it received, and reports its version when it joins again."""

    def __init__(self, number: int) -> None:
        self.number, self.held, self.run, self.version, self.record = number, {}, None, 0, None

    def join(self, hub: Hub, keeps_state: bool = True) -> None:
        if not keeps_state:
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
        body = hub.update_body(self.record)
        if body is not None and not lost:
            changes = CHANGES_DECODER.decode(body)
            assert changes.since == self.version < changes.version
            fold(self.held, changes.changes, changes.whole)
            self.version = changes.version
        return applied


class ReferenceModel:
    """The result of orders without versions, rate limit or loss."""

    def __init__(self) -> None:
        self.tables, self.levels, self.out, self.uses = {}, {}, set(), {}

    def apply(self, order) -> None:
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
def test_a_proxy_ends_with_the_tables_as_ordered_whatever_answers_are_lost(seed):
    random, hub, reference, now = Random(seed), Hub(FACTS, "run"), ReferenceModel(), 0.0
    model_proxies, joined, mark = [ModelProxy(n) for n in range(4)], set(), 0
    for _ in range(300):
        now += random.random() * 0.1
        draw, model_proxy = random.random(), random.choice(model_proxies)
        if draw < 0.02 and model_proxy.number not in joined:  # it was joined to another supervisor meanwhile
            model_proxy.run, model_proxy.version = "elsewhere", random.randrange(50)
            stale = [Line(0, "10.9.9.9:80", 1.0), Line(1, "10.9.9.8:80", 1.0), Out(server_name(server(2))), Use(1, 1)]
            model_proxy.held = {change.key: change for change in stale}
        elif draw < 0.1 and model_proxy.number not in joined:
            model_proxy.join(hub, keeps_state=random.random() < 0.8)
            joined.add(model_proxy.number)
        elif draw < 0.16 and model_proxy.number in joined:
            hub.leave(model_proxy.number)
            reference.uses.pop(model_proxy.number, None)
            joined.discard(model_proxy.number)
        elif draw < 0.18:
            for record in hub.restart():
                reference.uses.pop(record.proxy, None)
            reference.tables, reference.levels, reference.out = {}, {}, set()
        elif draw < 0.55:
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
                reference.apply(order)
            hub.apply([*orders, face.Mark(False, mark)], now)
        hub.release(now)
        if model_proxy.number in joined:
            model_proxy.poll(hub, now, lost=random.random() < 0.3)
    hub.release(now + 1e6)
    for model_proxy in model_proxies:
        if model_proxy.number in joined and model_proxy.number in reference.uses:
            model_proxy.poll(hub, now + 1e6)
            table = reference.uses[model_proxy.number]
            for operation in range(3):
                assert lines_of(model_proxy.held, operation) == reference.lines(model_proxy.number)
                level = model_proxy.held.get(("level", table, operation))
                if (table, operation) in reference.levels:
                    assert (level.level, level.tries) == reference.levels[table, operation]
                else:
                    assert level is None or level.level > 1
            # Every mark is acknowledged.
            assert model_proxy.poll(hub, now + 1e6) is not None and not model_proxy.record.marks


def hub_with(lines: int = 118, proxies: int = 1) -> tuple[Hub, list[ModelProxy]]:
    hub, model_proxies = Hub(FACTS, "run"), [ModelProxy(n) for n in range(proxies)]
    for model_proxy in model_proxies:
        model_proxy.join(hub)
    orders = [face.SetLine(bytes([10, 0, n // 250, n % 250, 31, 64]), 1.0, 0) for n in range(lines)]
    hub.apply(
        [*orders, *(face.UseTable(0, 0, model_proxy.number) for model_proxy in model_proxies), face.Mark(False, 1)], 0.0
    )
    hub.release(1e6)
    for model_proxy in model_proxies:
        model_proxy.poll(hub, 1e6)
    return hub, model_proxies


def test_one_changed_line_of_many_is_a_small_delta():
    hub, (model_proxy,) = hub_with()
    full_length = len(hub.update_body(model_proxy.record))
    assert model_proxy.poll(hub, 1e6) == [face.Applied(1, 0, 1e6)] and hub.update_body(model_proxy.record) is None
    hub.apply([face.SetLine(bytes([10, 0, 0, 7, 31, 64]), 0.5, 0), face.Mark(False, 2)], 2e6)
    hub.release(3e6)
    update = CHANGES_DECODER.decode(hub.update_body(model_proxy.record))
    assert not update.whole and len(update.changes) == 1 and update.changes[0].weight == 0.5
    assert len(hub.update_body(model_proxy.record)) < full_length / 20


def test_a_full_snapshot_is_sent_if_the_delta_is_longer_or_no_longer_kept():
    hub, (model_proxy,) = hub_with(lines=4)
    for k in range(MAX_LOGGED_MESSAGES + 5):
        hub.apply([face.SetLine(bytes([10, 0, 0, k % 4, 31, 64]), 1 + k / 100, 0)], 2e6 + k)
        hub.release(3e6 + k)
    update = CHANGES_DECODER.decode(hub.update_body(model_proxy.record))
    assert update.whole and len(update.changes) == 4 + 3
    fold(model_proxy.held, update.changes, update.whole)
    assert len(lines_of(model_proxy.held, 0)) == 4


def test_all_changes_of_one_order_cost_one_line_in_the_channel():
    """Guards against a channel filled beyond its cap: uses of a table, and lines of servers that are out, cost more in
    the channel than in the count of the module, which keeps the cap."""
    hub, (model_proxy,) = hub_with(lines=3)
    joining = hub.messages_sent and FACTS.lines_per_message + 1 + 3 + 1  # header, mark, lines, and its table
    assert model_proxy.record.log[0].cost == joining
    hub.apply([face.SetLine(server(9), 0.0, 0), face.Withdraw(True, server(9))], 2e6)
    hub.release(3e6)
    before = hub.channel.waiting
    hub.apply([face.SetLine(server(9), 1.0, 0), face.Mark(False, 2)], 4e6)
    (message,) = hub.channel.queue
    assert message.changes == (Line(0, server_name(server(9)), 1.0), Out(server_name(server(9))))
    assert hub.channel.waiting - before == 1 + FACTS.lines_per_message + 1


def test_the_removal_of_every_line_is_sent_as_a_delta_and_applied():
    """Guards against proxies that keep the lines of a lost zone: they rejected a full snapshot without a line, joined
    again, and used the old lines until the next change."""
    hub, (model_proxy,) = hub_with(lines=3)
    model_proxy.poll(hub, 1e6)
    tables = Tables(3, "weighted", "share", 0, [], Random(1))
    tables.run = "run"
    tables.apply(Changes("run", 0, model_proxy.version, True, list(model_proxy.held.values())), 0.0)
    for k in range(3):  # more changes than lines held in the end
        hub.apply([face.SetLine(bytes([10, 0, 0, n, 31, 64]), 0.0 if k == 2 else 1 + k / 8, 0) for n in range(3)], 2e6)
    hub.release(3e6)
    update = CHANGES_DECODER.decode(hub.update_body(model_proxy.record))
    assert not update.whole
    tables.apply(update, 0.0)
    assert tables.line_count(0) == 0


def test_changes_lost_with_a_stream_are_not_sent_until_the_proxy_is_on_a_table_again():
    # Guards against an old line to a server that was drained while the proxy was absent.
    hub, (model_proxy,) = hub_with(lines=3)
    hub.apply([face.SetLine(server(9), 1.0, 0)], 2e6)
    hub.release(3e6)
    hub.leave(0)
    hub.apply([face.SetLine(server(9), 0.0, 0)], 4e6)  # it drains while no proxy is joined
    model_proxy.join(hub)
    assert model_proxy.poll(hub, 5e6) == [] and hub.update_body(model_proxy.record) is None
    hub.apply([face.UseTable(0, 0, 0)], 5e6)
    hub.release(6e6)
    model_proxy.poll(hub, 6e6)
    assert server_name(server(9)) not in lines_of(model_proxy.held, 0) and len(lines_of(model_proxy.held, 0)) == 3


def test_a_table_left_and_used_again_between_two_polls_keeps_no_old_line():
    orders = [face.SetLine(server(9), 1.0, 1), face.UseTable(0, 1, 0), face.SetLine(server(0), 0.0, 0)]
    orders.append(face.UseTable(0, 0, 0))
    for replies in ([[order] for order in orders], [orders]):
        hub, (model_proxy,) = hub_with(lines=30)
        for reply in replies:
            hub.apply(reply, 2e6)
        hub.release(3e6)
        model_proxy.poll(hub, 3e6)
        assert len(lines_of(model_proxy.held, 0)) == 29 and server_name(server(0)) not in lines_of(model_proxy.held, 0)


def test_versions_that_were_never_sent_are_refused():
    hub, (model_proxy,) = hub_with(lines=3)
    with pytest.raises(Refused, match="was never sent"):
        hub.ack(model_proxy.record, model_proxy.version + 1, 1.0)
    with pytest.raises(Refused, match="was never sent"):
        hub.join(0, 0, "run", 99)
    with pytest.raises(Refused, match="was never sent"):
        hub.join(55, 0, "run", 0)
    assert model_proxy.record.joined


def test_records_of_unjoined_proxies_are_evicted_and_those_of_joined_ones_never():
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
def test_the_channel_keeps_its_rate_and_order(seed):
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
    sums, batches = Sums(10.0), []
    for step in range(40):
        for n in range(30):
            sums.add_server_report(step * 0.5, 0, server(n), 4, 1, 0.1, None)
        events = sums.release_events(step * 0.5, 0.5)
        assert len(events) <= 10
        batches.append(events)
    order = [event.server for events in batches[:6] for event in events]
    assert order[:30] == [server(n) for n in range(30)]
    rest = [event for _ in range(40) for event in sums.release_events(1000.0 + _, 0.5)]
    assert sum(event.tries for event in [*sum(batches, []), *rest]) == 40 * 30 * 4
    assert all(abs(event.latency - 0.1) < 1e-9 and event.errored * 4 == event.tries for event in rest)


@pytest.mark.parametrize("bad", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.300:80", "a:b", "1.2.3.4:-5"])
def test_bad_server_names_are_refused(bad):
    with pytest.raises(ValueError, match="an IPv4 address, a colon and a port"):
        server_id(bad)
    assert server_name(server_id("10.1.2.3:8000")) == "10.1.2.3:8000"


def roster_update(
    version: int, whole: bool, *numbers: int, state: str = "ready", started: float | None = None
) -> RosterUpdate:
    zones = ("east", "west")
    return RosterUpdate(
        version, whole, [ListedServer(f"10.0.0.{n}:80", zones[n % 2], FACTS.kinds[0], state, started) for n in numbers]
    )


def make_instance(**more) -> Instance:
    return Instance(FACTS, 7, "run", 0.0, **more)


def test_a_roster_update_that_does_not_follow_or_names_unknown_values_changes_nothing():
    instance = make_instance()
    with pytest.raises(Refused, match="send the whole list"):
        instance.apply_roster_update(roster_update(5, False, 1))
    instance.apply_roster_update(roster_update(5, True, 1, 2))
    odd = roster_update(6, False, 3, state="odd")
    for bad, why in (
        (roster_update(7, False, 3), "does not follow"),
        (roster_update(6, False, 3, 3), "twice"),
        (odd, "state"),
    ):
        with pytest.raises(Refused, match=why):
            instance.apply_roster_update(bad)
    assert instance.roster.version == 5 and len(instance.roster.entries) == 2 and len(instance.pending_events) == 1
    instance.apply_roster_update(roster_update(6, False, 2, state="gone"))
    assert len(instance.roster.entries) == 1


def run_instance(
    instance: Instance, seconds: float, model_proxies: list[ModelProxy], broken: set = frozenset()
) -> None:
    """Proxies poll and report every 0.1 s for so many seconds."""
    start = round(instance.recent_batches[-1][0] if instance.recent_batches else 0.0, 3)
    for k in range(1, int(seconds * 10) + 1):
        now = start + k / 10
        for model_proxy in model_proxies:
            instance.ack(model_proxy.record, model_proxy.version, now)
            model_proxy.poll(instance.hub, now)
            met = [
                ServerReport(name, 3, 3 * (name in broken), None if name in broken else 0.1)
                for name in lines_of(model_proxy.held, 0)
            ]
            instance.report(model_proxy.record, Report(model_proxy.record.stream, met, []), now)
        instance.turn(now)


def joined_instance(proxies: int = 4, **more) -> tuple[Instance, list[ModelProxy]]:
    instance = make_instance(**more)
    instance.apply_roster_update(roster_update(1, True, *range(1, 10)))
    model_proxies = [ModelProxy(n) for n in range(proxies)]
    for n, model_proxy in enumerate(model_proxies):
        model_proxy.record, _ = instance.join(n, Join(("east", "west")[n % 2], 5.0), 0.0)
        model_proxy.run = "run"
    instance.turn(0.0)
    return instance, model_proxies


def test_a_withdrawal_of_the_module_is_published_and_its_reason_kept():
    instance, model_proxies = joined_instance()
    run_instance(instance, 4.0, model_proxies)
    run_instance(instance, 5.0, model_proxies, broken={"10.0.0.3:80"})
    assert "10.0.0.3:80" in instance.hub.out
    assert all("10.0.0.3:80" not in lines_of(model_proxy.held, 0) for model_proxy in model_proxies)
    assert "erred" in instance.server_reasons["10.0.0.3:80"][1]


def test_a_module_that_raises_is_reported_with_its_events_and_restarted_while_proxies_keep_their_tables():
    class Faulty(Brain):
        faults = 0

        def handle(self, now, events):
            if now > 2.0 and not Faulty.faults:
                Faulty.faults += 1
                raise KeyError("broken")
            return super().handle(now, events)

    instance, model_proxies = joined_instance(brain=Faulty)
    faults = []
    instance.on_fault = faults.append
    run_instance(instance, 1.9, model_proxies)
    before = [dict(model_proxy.held) for model_proxy in model_proxies]
    instance.turn(2.1)
    assert len(faults) == 1 and "KeyError" in faults[0].error and faults[0].event_batches[-1][0] == 2.1
    assert [model_proxy.held for model_proxy in model_proxies] == before and not instance.hub.tables
    run_instance(instance, 3.0, model_proxies)
    assert all(len(lines_of(model_proxy.held, 0)) == 9 for model_proxy in model_proxies) and instance.faults == 1


def test_one_recorded_sequence_brings_the_same_orders_in_supervisor_and_bench():
    instance, model_proxies = joined_instance()
    recorded = []
    instance.on_turn = lambda now, events, orders: recorded.append((now, list(events), list(orders)))
    instance.brain = Brain(instance.facts, 7, 0.1)
    instance.pending_events = [instance.roster.snapshot(), *(face.Joined(n % 2, True, n, 5.0) for n in range(4))]
    instance.hub.restart()
    run_instance(instance, 12.0, model_proxies, broken={"10.0.0.5:80"})
    host, kinds = InstanceHost(), set()
    recorded[0][1].insert(0, face.Start(7, instance.facts))
    for now, events, orders in recorded:
        answered = host.handle_batch(now, [(0, event) for event in events])
        assert encode_reply(answered) == encode_reply([(0, order) for order in orders])
        kinds |= {type(order) for order in orders}
    assert {face.SetLine, face.Withdraw, face.UseTable, face.SetLevel, face.Mark} <= kinds and len(recorded) > 50
