"""Crossings on the platform: a request, an answer, an end or a new configuration that comes between two lines. Each is
forced over loopback sockets, the other side stopping where it hurts."""

import json
import time

import pytest

from driftshed import interface as face
from driftshed.adapter.facts import read_facts
from driftshed.net.loop import Loop
from driftshed.net.stream import Listener, Stream
from driftshed.node import link as links
from driftshed.node.relay import Channel, Orders
from tests.helpers import FACTS
from tests.platforms import HEAD, KINDS, Platform, change, chunk, listed, nested
from tests.test_net import until


def put(number: int) -> dict:
    return {"do": "put", "group": 9, "target": f"s-{number}", "rps": 1.0}


def give(platform: Platform, *ops: dict) -> None:
    platform.service.host.orders.give(list(ops))
    platform.service._soon()


def both(platform: Platform, other: Platform, condition) -> None:
    """Runs two platforms until a condition holds."""
    platform.until(lambda: (other.loop.turn(time.monotonic() + 0.002), condition())[1])


def at(platform: Platform, other: Platform):
    """The configuration that names another platform's addresses."""
    return platform.told._replace(relay=other.relay.address, discovery=other.discovery.address)


# ---- new configurations ----------------------------------------------------------------------------------------------


def test_orders_end_where_the_last_of_two_configurations_says(platform, other):
    platform.start(0)
    platform.lose = ["silent"]
    give(platform, put(1))
    platform.until(lambda: not platform.lose)
    platform.service.renew(at(platform, other))  # while the call is out
    platform.service.renew(platform.told)
    platform.until(lambda: not platform.service.host.orders.waiting)
    until(platform.loop, lambda: len(platform.watches) >= 6)
    platform.join(1)
    platform.until(lambda: 1 in platform.holds()[1])
    assert platform.service.orders.address == platform.relay.address and not other.applied


def test_a_relay_that_has_gone_silent_holds_no_orders_at_its_old_address(platform, other):
    platform.start(0)
    platform.lose = ["silent"] * 1000
    give(platform, put(1))
    platform.until(lambda: len(platform.lose) < 1000)
    platform.service.renew(at(platform, other))
    calls = len(platform.applied)
    both(platform, other, lambda: any(put(1) in ops for ops in other.applied))
    assert len(platform.applied) == calls  # nothing more was written to the old one


def test_an_answer_that_is_still_to_come_is_awaited_before_orders_move(platform, other):
    platform.start(0)
    platform.lose = ["slow"]
    give(platform, put(1), put(2))
    platform.until(lambda: not platform.lose)
    platform.service.renew(at(platform, other))
    both(platform, other, lambda: platform.service.orders.address == other.relay.address)
    assert platform.service.host.orders.repeats == 0 and not platform.service.host.orders.waiting


def test_a_call_that_the_old_relay_never_read_goes_whole_to_the_new_one(platform, other):
    platform.start(0)
    for stream in platform.streams:
        stream.pause(True)
    ops = [put(number) for number in range(700)]
    give(platform, *ops)
    platform.until(lambda: platform.service.host.orders.sent_at is not None)
    platform.service.renew(at(platform, other))
    both(platform, other, lambda: other.applied)
    assert other.applied[0] == ops


def test_while_the_new_relay_has_told_nothing_the_one_that_told_is_followed(platform, other):
    platform.start(0)
    silent = Listener(platform.loop, ("127.0.0.1", 0), lambda stream: None)
    told_by = list(platform.watches)
    platform.service.renew(platform.told._replace(relay=silent.address))
    platform.until(lambda: all(watcher.link.up for watcher in platform.service.watchers))
    platform.service.renew(platform.told._replace(relay=other.relay.address))
    platform.say(told_by[0], "SUBSCRIBE", id=5, site="east", rps=2.0, new=True)  # before the third has told
    platform.until(lambda: 5 in platform.service.host.joins.held)
    silent.close()


def test_what_a_new_configuration_does_not_change_is_said(platform):
    platform.start(0)
    platform.service.renew(platform.told._replace(sockets=4096))
    fields = dict(platform.logged)["configuration"]
    assert fields["ignored"] == ["sockets"] and platform.service.told.sockets == platform.told.sockets


def test_the_list_goes_on_over_two_watches_that_overlap(platform, other):
    platform.start(0)
    old = platform.lists[0]
    other.discovery.on_stream = other.lists.append
    platform.service.renew(at(platform, other))
    both(platform, other, lambda: other.lists and platform.service.discovery.link.up)
    old.write(chunk(change(4, listed(1, "draining"))))
    platform.until(lambda: platform.service.host.roster.version == 4)
    other.lists[0].write(HEAD + chunk(change(4, listed(1, "draining"))) + chunk(change(5, listed(2, "removed"))))
    both(platform, other, lambda: platform.service.host.roster.version == 5)
    entries = platform.service.host.roster.entries
    assert entries[b"s-1"].state == face.DRAINING and b"s-2" not in entries


# ---- news ------------------------------------------------------------------------------------------------------------


def test_who_joined_just_before_news_that_cannot_be_read_is_bound(platform):
    platform.start(0)
    line = {"jsonrpc": "2.0", "method": "SUBSCRIBE", "params": {"id": 3, "site": "east", "rps": 2.0, "new": True}}
    platform.standing[3] = True
    platform.watches[0].write(json.dumps(line).encode() + b"\nspoilt\n")  # in one piece
    platform.until(lambda: 3 in platform.holds()[1])


def test_a_proxy_that_came_back_unseen_and_holds_nothing_is_bound_anew(platform):
    platform.start(0, 1)
    platform.until(lambda: set(platform.service.host.joins.answered) == {0, 1})
    attached = sum(op["do"] == "attach" for ops in platform.applied for op in ops)
    platform.standing[1] = True  # while both connections are away: it left, and came back without a table
    for stream in platform.watches:
        stream.abort("broken")
    platform.until(lambda: sum(op["do"] == "attach" for ops in platform.applied for op in ops) > attached)
    ops = [op for ops in platform.applied for op in ops if op["do"] == "attach"]
    assert ops[-1]["id"] == 1 and len(ops) == attached + 1  # the other one, whose table stands, is left alone


# ---- calls -----------------------------------------------------------------------------------------------------------

NARROW = nested(FACTS + KINDS + "domain.queueCap=120\n")


class Paced:
    """Lines in the channel behind a relay: what each order costs, at a pace, and answers when all has left."""

    TRANSIT = 0.2

    def __init__(self, platform: Platform, facts: face.StartFacts) -> None:
        self.platform, self.facts = platform, facts
        self.most = self.waiting = self.looked_at = 0.0
        self.lines, self.holds = {}, {}
        self.seen = 0
        platform.answers_marks = False

    def look(self) -> None:
        """Takes in what was carried out since the last look."""
        now = time.monotonic()
        self.waiting = max(0.0, self.waiting - (now - self.looked_at) * self.facts.lines_per_second)
        self.looked_at = now
        for ops in self.platform.applied[self.seen :]:
            written = set()
            for op in ops:
                if op["do"] == "put":
                    self.lines.setdefault(op["group"], set()).add(op["target"])
                    to = [proxy for proxy, group in self.holds.items() if group == op["group"]]
                    self.waiting += len(to)
                elif op["do"] == "attach":
                    self.holds[op["id"]] = op["group"]
                    to = [op["id"]]
                    self.waiting += 1 + len(self.lines.get(op["group"], ()))
                else:
                    continue
                written.update(to)
            self.waiting += len(written) * (self.facts.lines_per_message + 1)
            self.most = max(self.most, self.waiting)
            marks = [op["ticket"] for op in ops if op["do"] == "fence"]
            after = self.waiting / self.facts.lines_per_second + self.TRANSIT
            for proxy in written if marks else ():
                self.platform.loop.after(after, lambda p=proxy, m=marks[0]: self.platform.all("ACK", id=p, seq=m, ms=1))
        self.seen = len(self.platform.applied)


@pytest.mark.parametrize("how", ["break", "before", "silent", "spoilt"])
def test_a_call_that_fills_the_channel_does_not_fill_it_twice(how):
    platform = Platform(settings=NARROW)
    facts = platform.told.facts
    channel, orders = Paced(platform, facts), platform.service.host.orders
    platform.until(lambda: platform.service.ready)
    platform.join(*range(facts.proxies))
    platform.until(lambda: (channel.look(), len(channel.holds) == facts.proxies)[1])
    platform.until(lambda: (channel.look(), not orders.waiting and not platform.service.host.brain.unanswered)[1])
    calls, platform.lose = len(platform.applied), [how] * 3
    drains = [listed(number, "draining") for number in range(5)]  # a line each to every proxy: over half of the cap
    platform.lists[0].write(chunk(change(4, *drains)))
    gone = {"do": "put", "group": 0, "target": "s-0", "rps": 0.0}
    platform.until(lambda: (channel.look(), any(gone in ops for ops in platform.applied[calls:]))[1])
    platform.until(lambda: (channel.look(), not orders.waiting)[1])
    assert 60 < channel.most <= facts.queue_cap
    # One that was carried out is known by the answers to its mark, and one that was not goes again.
    assert sum(gone in ops for ops in platform.applied[calls:]) == 1
    assert orders.proved == (how != "before") and len(platform.lose) == (0 if how == "before" else 2)
    platform.close()


def test_what_went_twice_is_room_that_the_module_does_not_have(platform):
    platform.start(0)
    host, cap, messages = platform.service.host, platform.told.facts.queue_cap, platform.told.facts.message_cap
    platform.answers_marks = False
    platform.lose = ["break"]
    platform.join(1, 2)
    platform.until(lambda: host.orders.repeats == 1 and not host.orders.waiting)
    now = platform.loop.clock()
    assert host.channel.lines(now) > 0 and host.channel.messages(now) == 1
    platform.join(3)
    platform.until(lambda: 3 in platform.holds()[1])
    assert host.brain.cap < cap and host.brain.message_cap == messages - 1
    gone = now + platform.told.facts.message_span + 1
    assert host.channel.lines(gone) == 0 and host.channel.messages(gone) == 0


def test_a_channel_slower_than_its_pace_is_given_its_time():
    facts = read_facts(FACTS + KINDS)
    swift, slow = Channel(facts), Channel(facts)
    for channel, took in ((swift, 0.2), (slow, 9.0)):
        for _ in range(30):
            channel.heard(took)
        channel.heard(0.1)
        channel.lost(100.0, 500.0)
    at_pace = 500.0 / facts.lines_per_second + facts.worst_transit
    most = facts.queue_cap
    bound = 2 * most / facts.lines_per_second + facts.worst_transit  # or a call would wait for ever
    assert swift.absent_at == pytest.approx(100.0 + at_pace) and 103.0 < slow.absent_at <= 100.0 + bound
    assert not slow.may_repeat(100.0 + at_pace, most, most, False)
    assert swift.may_repeat(100.0 + at_pace, most, most, False) and not swift.rows
    # One that was seen to be carried out counts when it goes again, however late.
    assert swift.may_repeat(100.0 + at_pace, most, most, True) and swift.lines(100.0 + at_pace) == most
    slow.add(100.0, 50.0, 10.0)
    assert slow.lines(101.0) == 50.0 and slow.lines(110.0) == 0
    for _ in range(300):
        slow.heard(0.1)  # it is well again
    slow.lost(200.0, 500.0)
    assert slow.absent_at == pytest.approx(200.0 + at_pace)


def test_a_new_module_does_not_take_the_channel_for_empty(platform):
    platform.start(0, 1)
    host = platform.service.host
    platform.answers_marks = False
    platform.join(2)
    platform.until(lambda: 2 in platform.holds()[1] and not host.orders.waiting)
    waiting = host.brain._waiting()
    host.brain._hear_left = None  # raises when called
    platform.all("CLOSED", id=1)
    platform.until(lambda: host.faults == 1 and platform.holds()[1].get(0, 0) > 0)
    assert waiting > 0 and host.channel.rows[0][1] == waiting and host.channel.messages(platform.loop.clock()) >= 1


def test_an_answer_that_comes_with_the_close_is_taken(platform):
    platform.start(0)
    platform.lose = ["answered and closed"]
    give(platform, put(1))
    platform.until(lambda: not platform.lose and not platform.service.host.orders.waiting)
    assert platform.service.host.orders.repeats == 0


def test_a_proxy_that_left_and_rejoined_while_its_binding_was_in_doubt_is_bound_anew(platform):
    platform.start(0)
    platform.lose = ["silent"]
    platform.join(1)
    platform.until(lambda: not platform.lose)
    calls = len(platform.applied)
    platform.all("CLOSED", id=1)
    platform.all("SUBSCRIBE", id=1, site="east", rps=2.0, new=True)
    again = {"do": "attach", "id": 1, "group": 0}
    platform.until(lambda: any(again in ops for ops in platform.applied[calls:]))
    platform.until(lambda: not platform.service.host.orders.waiting and not platform.service.host.brain.unanswered)


@pytest.mark.parametrize(
    "lose",
    [
        ["break", "throttled"],
        ["silent", "throttled", "throttled", "before"],
        ["throttled", "spoilt", "throttled"],
    ],
)
def test_what_is_turned_away_after_it_was_in_doubt_goes_once_more(platform, lose):
    platform.start(0)
    platform.answers_marks = False
    platform.lose = list(lose)
    give(platform, put(1), put(2))
    platform.until(lambda: not platform.lose and not platform.service.host.orders.waiting)
    orders = platform.service.host.orders
    assert orders.turned_away >= lose.count("throttled") and not orders.doubtful
    assert platform.applied[-1] == [put(1), put(2)]
    platform.join(1)
    platform.until(lambda: 1 in platform.holds()[1])


def test_a_call_that_may_have_stopped_at_one_that_left_is_not_proved_by_an_answer():
    calls = Orders()
    mark, binding = {"do": "fence", "ticket": 9, "flag": 0}, {"do": "attach", "id": 7, "group": 0}
    for left in ({7}, set()):
        calls.give([put(1), binding, put(2), mark])
        assert calls.next(0.0)
        calls.shed(left)  # it may have left before its binding was read
        assert calls.lost() and calls.doubtful
        calls.answered(8)
        assert not calls.seen  # another's
        calls.answered(9)
        assert bool(calls.waiting) == bool(left) and calls.seen == bool(left)
        calls.shed(left)
        if left:
            assert json.loads(calls.next(1.0))["params"]["ops"] == [mark, put(1), put(2)] and calls.repeats == 1
            calls.take(b'{"id":2,"result":{"accepted":3}}\n', 1.0)
    assert not calls.waiting and not calls.seen and calls.proved == 1


def test_a_module_begun_anew_while_a_call_is_in_doubt_finds_its_proxies(platform):
    platform.start(0, 1)
    host = platform.service.host
    platform.lose = ["silent", "before"]
    platform.join(2)
    platform.until(lambda: len(platform.lose) < 2)
    host.brain._hear_left = None  # raises when called, as soon as the call is through
    platform.all("CLOSED", id=1)
    del platform.standing[1]
    platform.until(lambda: host.faults == 1)
    holds = lambda: {proxy: group for proxy, group in platform.holds()[1].items() if proxy in platform.standing}  # noqa: E731
    platform.until(lambda: holds() == {0: host.first, 2: host.first} and not host.orders.waiting)


def test_a_relay_that_is_away_costs_no_turns(platform):
    platform.start(0)
    turns, turn = [], platform.service._turn
    platform.service._turn = lambda: (turns.append(1), turn())
    platform.relay.close()
    for stream in platform.streams:
        stream.abort("gone")
    give(platform, put(1))
    end = time.monotonic() + 1.0
    platform.until(lambda: time.monotonic() > end)
    assert 0 < len(turns) < 100


def test_a_connection_that_is_closed_when_idle_is_dialled_anew_at_once(monkeypatch):
    monkeypatch.setattr(links, "STOOD", 0.05)
    loop, came = Loop(), []
    listener = Listener(loop, ("127.0.0.1", 0), came.append)
    from random import Random

    link = links.Link(loop, Random(1), listener.address, lambda: None, lambda data: None, lambda reason: None)
    for closes in range(1, 9):
        until(loop, lambda: len(came) >= closes and link.up)  # noqa: B023
        end = time.monotonic() + 0.06
        until(loop, lambda: time.monotonic() > end)  # noqa: B023
        came[-1].abort("idle")
        until(loop, lambda: not link.up)
        assert link.pause <= links.LEAST_PAUSE
    link.close(), listener.close(), loop.close()


# ---- the list --------------------------------------------------------------------------------------------------------


def test_an_entry_that_can_never_be_used_does_not_hold_up_the_list(platform):
    platform.start(0)
    spoilt = change(4, listed(1, "draining"), listed(90, kind="m9"))
    before = len(platform.lists)
    platform.discovery.on_stream = lambda stream: _answers(platform, stream, chunk(spoilt))
    platform.lists[0].write(chunk(spoilt))
    platform.until(lambda: platform.service.host.roster.entries[b"s-1"].state == face.DRAINING)
    assert len(platform.lists) == before + 1  # it was asked for again once
    assert any(event == "list_entries_skipped" for event, _ in platform.logged)
    platform.until(lambda: not platform.service.host.brain.line[platform.service.host.brain.place[b"s-1"]])


def _answers(platform: Platform, stream: Stream, told_first: bytes) -> None:
    platform.lists.append(stream)
    stream.on_data = lambda data: stream.write(HEAD + told_first)


def test_bytes_that_never_become_a_line_are_silence(platform):
    platform.start(0)
    platform.service.discovery.silent = 0.4
    count = len(platform.lists)

    def drip() -> None:
        for stream in platform.lists:
            stream.write(b"1\r\n \r\n")
        platform.loop.after(0.05, drip)

    drip()
    platform.until(lambda: len(platform.lists) > count)


def test_a_watch_and_news_that_tell_nothing_new_but_tell_are_kept(platform):
    platform.start(0)
    followed = [platform.service.discovery, *platform.service.watchers]
    for each in followed:
        each.silent = 1.2  # looked at each second
    dials = [each.link.dials for each in followed]

    def tell() -> None:
        for stream in platform.lists:
            stream.write(chunk(None))
        platform.all("ping")
        platform.loop.after(0.2, tell)

    tell()
    end = time.monotonic() + 3.5
    platform.until(lambda: time.monotonic() > end)
    assert [each.link.dials for each in followed] == dials


def test_what_is_known_of_servers_is_used_but_for_what_cannot_be():
    known = {"version": 3, "full": True, "servers": [listed(1), listed(2, state="odd"), listed(3)]}
    platform = Platform(known=known)
    assert sorted(platform.service.host.roster.entries) == [b"s-1", b"s-3"]
    platform.close()


def test_a_watch_that_is_cut_anywhere_tells_all_in_the_end(platform):
    platform.start(0)
    lines = [change(4, listed(1, "draining")), None, change(5, listed(1, "removed"), listed(7)), change(6, listed(8))]
    whole = b"".join(chunk(line) for line in lines)

    def since(version: int) -> bytes:
        """What a watch after a version begins with."""
        return b"".join(chunk(line) for line in lines if line is None or line["version"] > version)

    roster = platform.service.host.roster
    first = roster.entries[b"s-1"]
    for at_byte in range(0, len(whole), 7):
        roster.version, roster.entries = 3, {b"s-1": first}
        count = len(platform.lists)
        platform.discovery.on_stream = lambda stream: _answers(platform, stream, since(roster.version))  # noqa: B023
        platform.lists[-1].write(whole[:at_byte])
        platform.lists[-1].finish()
        platform.until(lambda: len(platform.lists) > count and roster.version == 6)  # noqa: B023
        assert sorted(roster.entries) == [b"s-7", b"s-8"]
    assert platform.service.host.faults == 0


@pytest.mark.parametrize(
    "lines",
    [
        [change(4, listed(1, "removed"), listed(1, started_ms=1000))],
        [change(4, listed(77, "removed"))],
        [change(4, *(listed(n, "draining") for n in range(6)))],
        [change(4, full=True)],
        [change(2, listed(1), full=True), change(4, listed(2))],
        [change(3, listed(1), full=True)],
        [None, None],
        [change(4, *(listed(n, "removed") for n in range(6))), change(5, listed(1))],
    ],
)
def test_odd_lists_are_no_fault(platform, lines):
    platform.start(0)
    roster = platform.service.host.roster
    platform.lists[0].write(b"".join(map(chunk, lines)))
    last = max([3, *(line["version"] for line in lines if line)])
    platform.until(lambda: roster.version == last)
    platform.join(1)
    platform.until(lambda: 1 in platform.service.host.joins.held and not platform.service.host.news)
    assert platform.service.host.faults == 0 and len(platform.lists) == 1


def test_what_ends_right_after_a_change_has_told_it(platform):
    platform.start(0)
    platform.lists[0].write(chunk(change(4, listed(1, "draining"))) + b"0\r\n\r\n")
    platform.lists[0].finish()
    platform.until(lambda: len(platform.lists) > 1)
    assert platform.service.host.roster.entries[b"s-1"].state == face.DRAINING
