"""Network fault tests of the platform's protocol: requests, answers, disconnects and reloads that cross each other.
Each interleaving is forced over loopback sockets by the peer, which stops at the critical point."""

import json
import time

import pytest

from driftshed import interface as face
from driftshed.adapter.facts import read_facts
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener, Stream
from driftshed.node import link as links
from driftshed.node.notifications import NOTIFICATION_TIMEOUT_S
from driftshed.node.relay import Channel, OrderQueue, Repeat
from tests.helpers import FACTS
from tests.platforms import HEAD, KINDS, Platform, chunk, nested, roster_update, server_entry
from tests.test_net import run_until


def put(number: int) -> dict:
    return {"do": "put", "group": 9, "target": f"s-{number}", "rps": 1.0}


def enqueue(platform: Platform, *ops: dict) -> None:
    platform.service.host.orders.enqueue(list(ops))
    platform.service._schedule_turn()


def run_both_until(platform: Platform, other: Platform, condition) -> None:
    """Runs two platforms until a condition holds."""
    platform.until(lambda: (other.loop.turn(time.monotonic() + 0.002), condition())[1])


def moved_to(platform: Platform, other: Platform):
    """The configuration that names another platform's addresses."""
    return platform.config._replace(relay=other.relay.address, discovery=other.discovery.address)


# ---- new configurations ----------------------------------------------------------------------------------------------


def test_orders_go_to_the_relay_of_the_last_of_two_configurations(platform, other):
    platform.start(0)
    platform.call_faults = ["silent"]
    enqueue(platform, put(1))
    platform.until(lambda: not platform.call_faults)
    platform.service.reconfigure(moved_to(platform, other))  # while the call is outstanding
    platform.service.reconfigure(platform.config)
    platform.until(lambda: not platform.service.host.orders.waiting)
    run_until(platform.loop, lambda: len(platform.watches) >= 6)
    platform.join(1)
    platform.until(lambda: 1 in platform.applied_state()[1])
    assert platform.service.orders.address == platform.relay.address and not other.applied


def test_orders_leave_an_unresponsive_relay_when_its_address_changes(platform, other):
    platform.start(0)
    platform.call_faults = ["silent"] * 1000
    enqueue(platform, put(1))
    platform.until(lambda: len(platform.call_faults) < 1000)
    platform.service.reconfigure(moved_to(platform, other))
    calls = len(platform.applied)
    run_both_until(platform, other, lambda: any(put(1) in ops for ops in other.applied))
    assert len(platform.applied) == calls  # nothing more was written to the old one


def test_an_answer_that_is_still_to_come_is_awaited_before_orders_move(platform, other):
    platform.start(0)
    platform.call_faults = ["slow"]
    enqueue(platform, put(1), put(2))
    platform.until(lambda: not platform.call_faults)
    platform.service.reconfigure(moved_to(platform, other))
    run_both_until(platform, other, lambda: platform.service.orders.address == other.relay.address)
    assert platform.service.host.orders.repeats == 0 and not platform.service.host.orders.waiting


def test_a_call_that_the_old_relay_never_read_is_sent_complete_to_the_new_one(platform, other):
    platform.start(0)
    for stream in platform.streams:
        stream.pause(True)
    ops = [put(number) for number in range(700)]
    enqueue(platform, *ops)
    platform.until(lambda: platform.service.host.orders.sent_at is not None)
    platform.service.reconfigure(moved_to(platform, other))
    run_both_until(platform, other, lambda: other.applied)
    assert other.applied[0] == ops


def test_the_old_relay_is_followed_until_a_new_one_has_synced(platform, other):
    platform.start(0)
    silent = Listener(platform.loop, ("127.0.0.1", 0), lambda stream: None)
    synced_watches = list(platform.watches)
    platform.service.reconfigure(platform.config._replace(relay=silent.address))
    platform.until(lambda: all(watcher.link.connected for watcher in platform.service.watchers))
    platform.service.reconfigure(platform.config._replace(relay=other.relay.address))
    platform.notify(
        synced_watches[0], "SUBSCRIBE", id=5, site="east", rps=2.0, new=True
    )  # before the third relay has synced
    platform.until(lambda: 5 in platform.service.host.join_state.joined)
    silent.close()


def test_ignored_fields_of_a_new_configuration_are_logged(platform):
    platform.start(0)
    platform.service.reconfigure(platform.config._replace(sockets=4096))
    fields = dict(platform.logged)["configuration"]
    assert fields["ignored"] == ["sockets"] and platform.service.config.sockets == platform.config.sockets


def test_roster_updates_continue_over_two_overlapping_watches(platform, other):
    platform.start(0)
    old = platform.lists[0]
    other.discovery.on_stream = other.lists.append
    platform.service.reconfigure(moved_to(platform, other))
    run_both_until(platform, other, lambda: other.lists and platform.service.discovery.link.connected)
    old.write(chunk(roster_update(4, server_entry(1, "draining"))))
    platform.until(lambda: platform.service.host.roster.version == 4)
    other.lists[0].write(
        HEAD
        + chunk(roster_update(4, server_entry(1, "draining")))
        + chunk(roster_update(5, server_entry(2, "removed")))
    )
    run_both_until(platform, other, lambda: platform.service.host.roster.version == 5)
    entries = platform.service.host.roster.entries
    assert entries[b"s-1"].state == face.DRAINING and b"s-2" not in entries


# ---- notifications ---------------------------------------------------------------------------------------------------


def test_a_proxy_that_joined_just_before_a_malformed_notification_is_bound(platform):
    platform.start(0)
    line = {"jsonrpc": "2.0", "method": "SUBSCRIBE", "params": {"id": 3, "site": "east", "rps": 2.0, "new": True}}
    platform.proxies[3] = True
    platform.watches[0].write(json.dumps(line).encode() + b"\nspoilt\n")  # in one write
    platform.until(lambda: 3 in platform.applied_state()[1])


def test_a_proxy_that_rejoined_unseen_without_a_table_is_bound_again(platform):
    platform.start(0, 1)
    platform.until(lambda: set(platform.service.host.join_state.last_mark) == {0, 1})
    attached = len(bindings(platform))
    platform.proxies[1] = True  # while both connections are down it left and rejoined without a table
    for stream in platform.watches:
        stream.abort("broken")
    # The other one may have left and rejoined with its table: both are bound, and each of them once.
    platform.until(lambda: {op["id"] for op in bindings(platform)[attached:]} == {0, 1})
    platform.until(lambda: not platform.service.host.orders.waiting)
    assert sorted(op["id"] for op in bindings(platform)[attached:]) == [0, 1]


def bindings(platform) -> list[dict]:
    return [op for ops in platform.applied for op in ops if op["do"] == "attach"]


def test_proxies_that_rejoin_before_the_first_ping_after_an_outage_are_bound_again(platform):
    """Guards against proxies that get none of the table's changes to the end: they left and rejoined with their tables
    while both connections were down, and the first ping came after their joins."""
    platform.start(0, 1)
    attached = len(bindings(platform))
    platform.pings_after_initial = False
    absent, platform.proxies = platform.proxies, {}  # their streams ended with the outage
    before = len(platform.watches)
    for stream in list(platform.watches):
        stream.abort("broken")
    platform.until(lambda: len(platform.watches) == before + 2)
    platform.proxies = dict.fromkeys(absent, False)
    for proxy in platform.proxies:
        platform.notify_all("SUBSCRIBE", id=proxy, site="east", rps=2.0, new=False)
    platform.until(lambda: {op["id"] for op in bindings(platform)[attached:]} == {0, 1})


def test_nobody_is_bound_again_while_one_connection_stands(platform):
    platform.start(0, 1)
    attached = len(bindings(platform))
    for _ in range(3):
        before = len(platform.watches)
        platform.watches[-1].abort("broken")
        platform.until(lambda before=before: len(platform.watches) == before + 1)
        platform.notify_all("ping")
        platform.until(lambda: all(platform.service.host.join_state.coverage.readers.values()))
    assert len(bindings(platform)) == attached


def test_news_connections_that_go_silent_are_left_within_a_few_tenths_of_a_second(platform):
    """Guards against joins that stay unseen for a second more, until silence is looked for."""
    platform.start(0)
    platform.loop.run(platform.service.started_at + 0.3)
    platform.notify_all("ping")
    readers = [watcher.reader for watcher in platform.service.watchers]
    platform.until(lambda: any(event == "news_lost" for event, _ in platform.logged))
    assert [fields["reason"] for event, fields in platform.logged if event == "news_lost"][0] == "silent"
    silent_for = platform.loop.clock() - max(reader.received_at for reader in readers)
    assert NOTIFICATION_TIMEOUT_S <= silent_for < NOTIFICATION_TIMEOUT_S + 0.4


# ---- calls -----------------------------------------------------------------------------------------------------------

NARROW = nested(FACTS + KINDS + "domain.queueCap=120\n")


class PacedChannel:
    """A model of the channel behind a relay: counts the lines of each operation, delivers them at the configured pace,
    and answers marks when their lines have been delivered."""

    TRANSIT = 0.2

    def __init__(self, platform: Platform, facts: face.StartFacts) -> None:
        self.platform, self.facts = platform, facts
        self.max_waiting = self.waiting = self.updated_at = 0.0
        self.lines, self.groups = {}, {}
        self.calls_seen = 0
        platform.answers_marks = False

    def update(self) -> None:
        """Adds the operations carried out since the last update."""
        now = time.monotonic()
        self.waiting = max(0.0, self.waiting - (now - self.updated_at) * self.facts.lines_per_second)
        self.updated_at = now
        for ops in self.platform.applied[self.calls_seen :]:
            written = set()
            for op in ops:
                if op["do"] == "put":
                    self.lines.setdefault(op["group"], set()).add(op["target"])
                    recipients = [proxy for proxy, group in self.groups.items() if group == op["group"]]
                    self.waiting += len(recipients)
                elif op["do"] == "attach":
                    self.groups[op["id"]] = op["group"]
                    recipients = [op["id"]]
                    self.waiting += 1 + len(self.lines.get(op["group"], ()))
                else:
                    continue
                written.update(recipients)
            self.waiting += len(written) * (self.facts.lines_per_message + 1)
            self.max_waiting = max(self.max_waiting, self.waiting)
            marks = [op["ticket"] for op in ops if op["do"] == "fence"]
            after = self.waiting / self.facts.lines_per_second + self.TRANSIT
            for proxy in written if marks else ():
                self.platform.loop.after(
                    after, lambda p=proxy, m=marks[0]: self.platform.notify_all("ACK", id=p, seq=m, ms=1)
                )
        self.calls_seen = len(self.platform.applied)


@pytest.mark.parametrize("fault", ["break", "before", "silent", "spoilt"])
def test_a_call_that_fills_the_channel_does_not_fill_it_twice(fault):
    platform = Platform(settings=NARROW)
    facts = platform.config.facts
    channel, orders = PacedChannel(platform, facts), platform.service.host.orders
    platform.until(lambda: platform.service.ready)
    platform.join(*range(facts.proxies))
    platform.until(lambda: (channel.update(), len(channel.groups) == facts.proxies)[1])
    platform.until(lambda: (channel.update(), not orders.waiting and not platform.service.host.brain.unanswered)[1])
    calls, platform.call_faults = len(platform.applied), [fault] * 3
    # One line for each server to every proxy: over half of the cap.
    drains = [server_entry(number, "draining") for number in range(5)]
    platform.lists[0].write(chunk(roster_update(4, *drains)))
    gone = {"do": "put", "group": 0, "target": "s-0", "rps": 0.0}
    platform.until(lambda: (channel.update(), any(gone in ops for ops in platform.applied[calls:]))[1])
    platform.until(lambda: (channel.update(), not orders.waiting)[1])
    assert 60 < channel.max_waiting <= facts.queue_cap
    # A call that was carried out is proved by the answers to its mark; one that was not is repeated.
    assert sum(gone in ops for ops in platform.applied[calls:]) == 1
    assert orders.proved == (fault != "before") and len(platform.call_faults) == (0 if fault == "before" else 2)
    platform.close()


def test_repeated_calls_reduce_the_room_of_the_module(platform):
    platform.start(0)
    host, cap, messages = platform.service.host, platform.config.facts.queue_cap, platform.config.facts.message_cap
    before = {proxy: len(times) for proxy, times in host.brain.message_times.items()}
    platform.answers_marks = False
    platform.call_faults = ["break"]
    platform.join(1, 2)
    platform.until(lambda: host.orders.repeats == 1 and not host.orders.waiting)
    now = platform.loop.clock()
    assert host.channel.lines(now) > 0
    # The order and its repeat at the proxies that they concern, none at the other.
    assert {proxy: len(times) for proxy, times in host.brain.message_times.items()} == before | {1: 2, 2: 2}
    platform.join(3)
    platform.until(lambda: 3 in platform.applied_state()[1])
    assert host.brain.queue_cap < cap and host.brain.message_cap == messages
    gone = now + platform.config.facts.message_span + 1
    assert host.channel.lines(gone) == 0 and host.channel.messages(gone) == 0


def test_broken_calls_for_some_proxies_hold_up_no_drain_of_the_others():
    """Guards against repeats that count as messages to proxies which they do not concern, until none may be sent."""
    platform = Platform(settings=nested(FACTS.replace("domain.proxies=8", "domain.proxies=64") + KINDS))
    platform.start(*range(6))
    host, cap = platform.service.host, platform.config.facts.message_cap
    for proxy in range(6, 6 + cap):
        platform.call_faults = ["before"]
        platform.join(proxy)
        platform.until(lambda: not platform.call_faults and not host.orders.waiting and not host.brain.waiting_since)
    assert host.orders.repeats >= cap
    calls = len(platform.applied)
    platform.lists[-1].write(chunk(roster_update(4, server_entry(0, "draining"))))
    told_at = platform.loop.clock()
    platform.until(lambda: any(is_removal(op, "s-0") for ops in platform.applied[calls:] for op in ops))
    assert platform.loop.clock() - told_at < platform.config.facts.drain_grace / 2
    platform.close()


def is_removal(op: dict, server: str) -> bool:
    return op["do"] == "put" and op["target"] == server and not op["rps"]


def test_a_call_in_doubt_is_not_repeated_beyond_the_message_cap():
    """Guards against repeats to a proxy that has been sent as many messages as it may be."""
    platform = Platform(settings=nested(FACTS.replace("pushesAllowed=30", "pushesAllowed=6") + KINDS))
    platform.start(0)
    host, cap = platform.service.host, platform.config.facts.message_cap
    platform.answers_marks = False
    platform.call_faults = ["break"] * (2 * cap)
    platform.join(1)
    platform.until(lambda: host.orders.in_doubt and host.orders.not_before > platform.loop.clock() + 0.1)
    bindings = sum(op["do"] == "attach" and op["id"] == 1 for ops in platform.applied for op in ops)
    assert cap / 2 < bindings <= cap
    platform.close()


def test_a_channel_slower_than_its_configured_pace_gets_longer_deadlines():
    facts = read_facts(FACTS + KINDS)
    fast, slow = Channel(facts), Channel(facts)
    for channel, took in ((fast, 0.2), (slow, 9.0)):
        for _ in range(30):
            channel.observe_latency(took)
        channel.observe_latency(0.1)
        channel.call_in_doubt(100.0, 500.0)
    at_pace = 500.0 / facts.lines_per_second + facts.worst_transit
    cap = facts.queue_cap
    bound = 2 * cap / facts.lines_per_second + facts.worst_transit  # without a bound a call could wait for ever
    assert fast.disproved_at == pytest.approx(100.0 + at_pace) and 103.0 < slow.disproved_at <= 100.0 + bound
    assert slow.may_repeat(100.0 + at_pace, cap, cap, False) is Repeat.NOT_YET
    assert fast.may_repeat(100.0 + at_pace, cap, cap, False) is Repeat.FIRST and not fast.rows
    # A call whose mark was answered counts when it is repeated, however late.
    assert fast.may_repeat(100.0 + at_pace, cap, cap, True) is Repeat.SECOND and fast.lines(100.0 + at_pace) == cap
    slow.add(100.0, 50.0, 10.0)
    assert slow.lines(101.0) == 50.0 and slow.lines(110.0) == 0
    for _ in range(300):
        slow.observe_latency(0.1)  # the channel has recovered
    slow.call_in_doubt(200.0, 500.0)
    assert slow.disproved_at == pytest.approx(200.0 + at_pace)


def test_a_new_module_counts_what_is_still_in_the_channel(platform):
    platform.start(0, 1)
    host = platform.service.host
    platform.answers_marks = False
    platform.join(2)
    platform.until(lambda: 2 in platform.applied_state()[1] and not host.orders.waiting)
    waiting = host.brain.waiting_lines()
    host.brain._handle_left = None  # raises when called
    platform.notify_all("CLOSED", id=1)
    platform.until(lambda: host.faults == 1 and platform.applied_state()[1].get(0, 0) > 0)
    assert waiting > 0 and host.channel.rows[0][1] == waiting and host.channel.messages(platform.loop.clock()) >= 1


def test_an_answer_that_arrives_with_the_close_is_handled(platform):
    platform.start(0)
    platform.call_faults = ["answered and closed"]
    enqueue(platform, put(1))
    platform.until(lambda: not platform.call_faults and not platform.service.host.orders.waiting)
    assert platform.service.host.orders.repeats == 0


def test_a_proxy_that_left_and_rejoined_while_its_binding_was_in_doubt_is_bound_anew(platform):
    platform.start(0)
    platform.call_faults = ["silent"]
    platform.join(1)
    platform.until(lambda: not platform.call_faults)
    calls = len(platform.applied)
    platform.notify_all("CLOSED", id=1)
    platform.notify_all("SUBSCRIBE", id=1, site="east", rps=2.0, new=True)
    again = {"do": "attach", "id": 1, "group": 0}
    platform.until(lambda: any(again in ops for ops in platform.applied[calls:]))
    platform.until(lambda: not platform.service.host.orders.waiting and not platform.service.host.brain.unanswered)


@pytest.mark.parametrize(
    "faults",
    [
        ["break", "throttled"],
        ["silent", "throttled", "throttled", "before"],
        ["throttled", "spoilt", "throttled"],
    ],
)
def test_a_call_in_doubt_that_is_throttled_is_repeated(platform, faults):
    platform.start(0)
    platform.answers_marks = False
    platform.call_faults = list(faults)
    enqueue(platform, put(1), put(2))
    platform.until(lambda: not platform.call_faults and not platform.service.host.orders.waiting)
    orders = platform.service.host.orders
    assert orders.turned_away >= faults.count("throttled") and not orders.in_doubt
    assert platform.applied[-1] == [put(1), put(2)]
    platform.join(1)
    platform.until(lambda: 1 in platform.applied_state()[1])


def test_an_answer_is_no_proof_for_a_call_that_bound_a_departed_proxy():
    calls = OrderQueue()
    mark, binding = {"do": "fence", "ticket": 9, "flag": 0}, {"do": "attach", "id": 7, "group": 0}
    for left in ({7}, set()):
        calls.enqueue([put(1), binding, put(2), mark])
        assert calls.next_call(0.0)
        calls.drop_proxies(left)  # the proxy may have left before its binding was read
        assert calls.connection_lost() and calls.in_doubt
        calls.mark_answered(8)
        assert not calls.mark_seen  # the mark of another call
        calls.mark_answered(9)
        assert bool(calls.waiting) == bool(left) and calls.mark_seen == bool(left)
        calls.drop_proxies(left)
        if left:
            assert json.loads(calls.next_call(1.0))["params"]["ops"] == [mark, put(1), put(2)] and calls.repeats == 1
            calls.feed(b'{"id":2,"result":{"accepted":3}}\n', 1.0)
    assert not calls.waiting and not calls.mark_seen and calls.proved == 1


def test_a_module_restarted_while_a_call_is_in_doubt_binds_its_proxies(platform):
    platform.start(0, 1)
    host = platform.service.host
    platform.call_faults = ["silent", "before"]
    platform.join(2)
    platform.until(lambda: len(platform.call_faults) < 2)
    host.brain._handle_left = None  # raises when called, once the call is complete
    platform.notify_all("CLOSED", id=1)
    del platform.proxies[1]
    platform.until(lambda: host.faults == 1)
    bound = lambda: {proxy: group for proxy, group in platform.applied_state()[1].items() if proxy in platform.proxies}  # noqa: E731
    platform.until(lambda: bound() == {0: host.first_group, 2: host.first_group} and not host.orders.waiting)


def test_an_unreachable_relay_causes_no_busy_loop(platform):
    platform.start(0)
    turns, turn = [], platform.service._run_turn
    platform.service._run_turn = lambda: (turns.append(1), turn())
    platform.relay.close()
    for stream in platform.streams:
        stream.abort("gone")
    enqueue(platform, put(1))
    end = time.monotonic() + 1.0
    platform.until(lambda: time.monotonic() > end)
    assert 0 < len(turns) < 100


def test_a_connection_closed_when_idle_is_reestablished_at_once(monkeypatch):
    monkeypatch.setattr(links, "STABLE_AFTER_S", 0.05)
    loop, accepted = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append)
    from random import Random

    link = links.Link(loop, Random(1), listener.address, lambda: None, lambda data: None, lambda reason: None)
    for closes in range(1, 9):
        run_until(loop, lambda: len(accepted) >= closes and link.connected)  # noqa: B023
        end = time.monotonic() + 0.06
        run_until(loop, lambda: time.monotonic() > end)  # noqa: B023
        accepted[-1].abort("idle")
        run_until(loop, lambda: not link.connected)
        assert link.backoff <= links.MIN_BACKOFF_S
    link.close(), listener.close(), loop.close()


# ---- roster ----------------------------------------------------------------------------------------------------------


def test_an_entry_that_is_always_malformed_does_not_block_the_list(platform):
    platform.start(0)
    update = roster_update(4, server_entry(1, "draining"), server_entry(90, kind="m9"))
    before = len(platform.lists)
    platform.discovery.on_stream = lambda stream: _accept_watch(platform, stream, chunk(update))
    platform.lists[0].write(chunk(update))
    platform.until(lambda: platform.service.host.roster.entries[b"s-1"].state == face.DRAINING)
    assert len(platform.lists) == before + 1  # the list was requested again once
    assert any(event == "list_entries_skipped" for event, _ in platform.logged)
    platform.until(lambda: not platform.service.host.brain.line_weight[platform.service.host.brain.slot_of[b"s-1"]])


def _accept_watch(platform: Platform, stream: Stream, first_chunk: bytes) -> None:
    platform.lists.append(stream)
    stream.on_data = lambda data: stream.write(HEAD + first_chunk)


def test_bytes_that_never_complete_a_line_count_as_silence(platform):
    platform.start(0)
    platform.service.discovery.silence_timeout = 0.4
    count = len(platform.lists)

    def drip() -> None:
        for stream in platform.lists:
            stream.write(b"1\r\n \r\n")
        platform.loop.after(0.05, drip)

    drip()
    platform.until(lambda: len(platform.lists) > count)


def test_idle_watches_with_keepalives_are_kept(platform):
    platform.start(0)
    followers = [platform.service.discovery, *platform.service.watchers]
    for each in followers:
        each.silence_timeout = 1.2  # checked each second
    dials = [each.link.dials for each in followers]

    def send_keepalives() -> None:
        for stream in platform.lists:
            stream.write(chunk(None))
        platform.notify_all("ping")
        platform.loop.after(0.2, send_keepalives)

    send_keepalives()
    end = time.monotonic() + 3.5
    platform.until(lambda: time.monotonic() > end)
    assert [each.link.dials for each in followers] == dials


def test_valid_entries_of_the_known_list_are_used():
    known = {"version": 3, "full": True, "servers": [server_entry(1), server_entry(2, state="odd"), server_entry(3)]}
    platform = Platform(known=known)
    assert sorted(platform.service.host.roster.entries) == [b"s-1", b"s-3"]
    platform.close()


def test_a_watch_cut_at_any_byte_recovers_every_update(platform):
    platform.start(0)
    lines = [
        roster_update(4, server_entry(1, "draining")),
        None,
        roster_update(5, server_entry(1, "removed"), server_entry(7)),
        roster_update(6, server_entry(8)),
    ]
    stream_bytes = b"".join(chunk(line) for line in lines)

    def since(version: int) -> bytes:
        """The first bytes of a watch that continues after a version."""
        return b"".join(chunk(line) for line in lines if line is None or line["version"] > version)

    roster = platform.service.host.roster
    first = roster.entries[b"s-1"]
    for at_byte in range(0, len(stream_bytes), 7):
        roster.version, roster.entries = 3, {b"s-1": first}
        count = len(platform.lists)
        platform.discovery.on_stream = lambda stream: _accept_watch(platform, stream, since(roster.version))  # noqa: B023
        platform.lists[-1].write(stream_bytes[:at_byte])
        platform.lists[-1].finish()
        platform.until(lambda: len(platform.lists) > count and roster.version == 6)  # noqa: B023
        assert sorted(roster.entries) == [b"s-7", b"s-8"]
    assert platform.service.host.faults == 0


@pytest.mark.parametrize(
    "lines",
    [
        [roster_update(4, server_entry(1, "removed"), server_entry(1, started_ms=1000))],
        [roster_update(4, server_entry(77, "removed"))],
        [roster_update(4, *(server_entry(n, "draining") for n in range(6)))],
        [roster_update(4, full=True)],
        [roster_update(2, server_entry(1), full=True), roster_update(4, server_entry(2))],
        [roster_update(3, server_entry(1), full=True)],
        [None, None],
        [roster_update(4, *(server_entry(n, "removed") for n in range(6))), roster_update(5, server_entry(1))],
    ],
)
def test_unusual_lists_cause_no_fault(platform, lines):
    platform.start(0)
    roster = platform.service.host.roster
    platform.lists[0].write(b"".join(map(chunk, lines)))
    last = max([3, *(line["version"] for line in lines if line)])
    platform.until(lambda: roster.version == last)
    platform.join(1)
    platform.until(lambda: 1 in platform.service.host.join_state.joined and not platform.service.host.pending_events)
    assert platform.service.host.faults == 0 and len(platform.lists) == 1


def test_an_update_right_before_the_end_of_a_watch_is_applied(platform):
    platform.start(0)
    platform.lists[0].write(chunk(roster_update(4, server_entry(1, "draining"))) + b"0\r\n\r\n")
    platform.lists[0].finish()
    platform.until(lambda: len(platform.lists) > 1)
    assert platform.service.host.roster.entries[b"s-1"].state == face.DRAINING
