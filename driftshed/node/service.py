"""One supervisor on the platform: wires the hosted module to discovery, the relay and the collectors."""

from __future__ import annotations

import gc
import os
import resource
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from driftshed import interface as face
from driftshed.core.hosting import Hosted
from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Listener, Stream
from driftshed.node.codec import GROUPS, Bad, Facts
from driftshed.node.collectors import NACK, PONG, Peer
from driftshed.node.config import Told
from driftshed.node.discovery import SILENT, Broken, Roster, Watch
from driftshed.node.link import Link
from driftshed.node.relay import NEWS_SILENT, Channel, Joins, News, Orders, Spoilt

JOIN_WITHIN = 1.2  # seconds from connecting until a collector has joined
PEERS_SHARE = 1 / 2  # of the descriptors, for those that have not joined
OTHERS = 16  # descriptors for all but who connects: list, news and calls at two addresses, listener, loop, log
KEPT_ASKERS = 16  # that asked for a sign of life and stay
LEAST_COLLECTORS = 32  # that have room at once, and one for each zone where there are more
MOST_REPORTS = 8192  # that wait for the module
READY_WITHIN = 2.0  # seconds; then signs of life are given whether relay and discovery answer or not
WATCHERS = 2  # connections with news of proxies
HELD = ("name", "listen", "sockets", "facts")  # what a new configuration does not change
MOST_ASKED = 1 << 16  # bytes of signs of life that one peer may be owed before they are given


class Host(Hosted):
    """The module with what stands outside of it: the list and who is joined."""

    def __init__(self, told: Told, now: float, wall: float) -> None:
        super().__init__(told.facts, told.seed, now)
        self.words = Facts(told.facts, now - wall, told.names)
        self.roster, self.joins, self.orders = Roster(self.words), Joins(), Orders()
        self.channel = Channel(told.facts)
        self.out: set[face.Server] = set()  # withdrawn by the present module
        self.freed: list[dict] = []  # what takes back what a module ordered that is no more

    def what_stands(self) -> list:
        return self.roster.stands() + [each._replace(fresh=False) for each in self.joins.held.values()]

    def forget_orders(self) -> None:
        # A new module has tables of its own, and no server is shut out by an old one.
        self.freed = [self.words.operation(face.Withdraw(False, server), 0) for server in sorted(self.out)]
        self.out.clear()

    @property
    def first(self) -> int:
        """The first group of the present module."""
        return self.faults % GROUPS * GROUPS

    def turn(self, now: float) -> None:
        """Lets the module hear what has come, unless its last orders are still on their way: it decides on what is,
        and what waits stays bounded."""
        if self.orders.waiting:
            return
        # What is in the channel beside its own orders is room that the module does not have.
        self.brain.cap = self.channel.cap - self.channel.lines(now)
        if self.channel.message_cap:
            self.brain.message_cap = max(1, self.channel.message_cap - self.channel.messages(now))
        ops, self.freed = self.freed, []
        for order in self.hear(now):
            op = self.words.operation(order, self.first)
            if op is not None:
                ops.append(op)
            if isinstance(order, face.Withdraw):
                (self.out.add if order.on else self.out.discard)(order.server)
        if ops:
            self.orders.give(ops)

    def lines_of(self, mark: int | None) -> float:
        """What the orders under a mark cost in the channel, by the module's count."""
        return sum(lines for each, lines, _ in self.brain.channel if each == mark)

    def lost(self, now: float) -> None:
        """The connection that calls go by is over."""
        if self.orders.lost():
            before = self.brain._waiting() - self.lines_of(self.orders.waiting[0].mark)
            self.channel.lost(now, before)

    def next_call(self, now: float) -> bytes | None:
        """The call to write now, if any. One that may have been carried out goes again once the channel bears it
        twice, or it is sure that it was not."""
        orders = self.orders
        if orders.doubtful and orders.sent_at is None and now >= orders.not_before:
            lines = self.lines_of(orders.waiting[0].mark)
            if not self.channel.may_repeat(now, lines, self.brain._waiting(), orders.seen):
                orders.not_before = self.channel.absent_at
        return orders.next(now)

    def take(self, events: list) -> None:
        left = {event.proxy for event in events if isinstance(event, face.Left)}
        if left:
            self.orders.shed(left)
        for event in events:
            if isinstance(event, face.Applied):
                self.orders.answered(event.mark)
                self.channel.heard(event.took)
        self.news += events
        if len(self.news) > MOST_REPORTS:
            self.news = [e for e in self.news if not isinstance(e, face.Heard | face.Demand)]


class Service:
    """Serves one supervisor on a loop until `loop.stop()`. `log(event, **fields)` writes one line."""

    def __init__(self, loop: Loop, told: Told, log: Callable[..., None], wall: Callable[[], float] = time.time) -> None:
        self.loop, self.told, self.log = loop, told, log
        self.began = loop.clock()
        self.host = Host(told, self.began, wall())
        self.random = Random(told.seed)
        self.dropped: Counter[str] = Counter()
        self.timer: Timer | None = None
        self.turn_due = False
        self.longest = self.latest = 0.0
        self.strangers: dict[Stream, Peer] = {}  # have not joined, oldest first
        self.collectors: dict[Stream, Peer] = {}
        self.owed: dict[Stream, bytes] = {}  # signs of life that were asked for before they are given
        room = max(told.sockets // 4, told.sockets // 2 - OTHERS)
        self.most_collectors = min(max(LEAST_COLLECTORS, len(told.facts.zones)), room)
        self.ready = False
        self.lines_logged = 0
        host = self.host
        host.on_log = lambda text: self._note("decided", text=text)
        host.on_fault = self._fault
        host.orders.on_refused = lambda op: self._note("refused", op=op)
        if told.known:
            for _ in range(2):  # nobody tells it again: what of it can be used is
                try:
                    self.hear(host.roster.hear(told.known, face.CACHED))
                    break
                except Bad as error:
                    log("known_list_unusable", level="warning", reason=str(error))
        self.listener = Listener(loop, told.listen, self._accept, 1 << 16)
        self.orders = self._orders_link(told.relay)
        self.watchers = [Watcher(self, told.relay) for _ in range(WATCHERS)]
        self.discovery = Discovery(self, told.discovery)
        self.next_second = self.began + 1
        loop.at(self.next_second, self._second)
        self._soon()

    def _note(self, event: str, level: str = "info", **fields: object) -> None:
        """A line at a bounded rate."""
        self.lines_logged += 1
        if self.lines_logged <= 20:
            self.log(event, level=level, **fields)

    def _fault(self, fault) -> None:
        now, brain = self.loop.clock(), self.host.brain
        # Guards against a new module that takes the channel for empty: what the old one ordered is still in it.
        self.host.channel.add(now, brain._waiting(), 0.0, max(map(len, brain.sent_at.values()), default=0))
        self.log(
            "module_fault",
            level="error",
            error=fault.error,
            place=fault.place,
            last=[repr(event)[:200] for event in fault.turns[-1][1][:20]],
        )
        self._soon()

    # ---- turns ------------------------------------------------------------------------------------------------

    def hear(self, events: list) -> None:
        if skipped := self.host.roster.skipped:
            self._note("list_entries_skipped", level="warning", count=len(skipped), first=skipped[0])
            skipped.clear()
        for event in events:
            if isinstance(event, face.Listing):
                self._note(
                    "list",
                    version=event.version,
                    changed=[
                        (
                            entry.server.decode(),
                            entry.state,
                            entry.started and round(self.loop.clock() - entry.started, 2),
                        )
                        for entry in event.entries[:8]
                    ],
                )
        if events:
            self.host.take(events)
            self._soon()

    def _soon(self) -> None:
        """A turn within the tick, so that what comes in together is heard together."""
        if not self.turn_due:
            self.turn_due = True
            self.loop.soon(self._turn)

    def _turn(self) -> None:
        self.turn_due = False
        began = self.loop.clock()
        self.host.turn(began)
        self._push()
        self.longest = max(self.longest, self.loop.clock() - began)
        at = self.host.module_at() if not self.host.orders.waiting else began + 1
        due = self.host.orders.next_at() if self.orders.up else None  # a connection that opens makes a turn
        at = at if due is None else min(at, due)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(max(at, began + 1e-3), self._due)

    def _due(self) -> None:
        self.timer = None
        if self.host.orders.late(self.loop.now):
            self._note("answer_late")
            self.orders.drop("late")
        self._soon()

    # ---- the relay --------------------------------------------------------------------------------------------

    def _push(self) -> None:
        if self.orders.address != self.told.relay and not (self.orders.up and self.host.orders.sent_at is not None):
            # The one place where orders move: between two calls, for an answer still comes to the old connection.
            # Guards against new configurations close together, and a call for ever out at an address that is over.
            self.orders.close()
            self.orders = self._orders_link(self.told.relay)
        if self.orders.up:
            text = self.host.next_call(self.loop.clock())
            if text is not None:
                self.orders.write(text)

    def _orders_link(self, relay: tuple[str, int]) -> Link:
        return Link(self.loop, self.random, relay, self._orders_open, self._orders_data, self._orders_lost)

    def _orders_open(self) -> None:
        self.host.orders.opened()
        self._soon()

    def _orders_data(self, data: bytes) -> None:
        try:
            self.host.orders.take(data, self.loop.clock())
            self.orders.proved()
        except Spoilt as error:
            self._note("answer_spoilt", reason=str(error))
            self.orders.drop("spoilt")
        self._soon()

    def _orders_lost(self, reason: str) -> None:
        self.host.lost(self.loop.clock())
        self._soon()

    # ---- who connects -----------------------------------------------------------------------------------------

    def _accept(self, stream: Stream) -> None:
        peer = Peer(self.host.words, self.host.roster.entries.__contains__, self.dropped)
        self.strangers[stream] = peer
        stream.on_data = lambda data: self._heard(stream, peer, data)
        stream.on_end = lambda reason: self._gone(stream)
        self.loop.after(JOIN_WITHIN, lambda: self._join_due(stream, peer))
        while len(self.strangers) > self.told.sockets * PEERS_SHARE:
            oldest = next(iter(self.strangers))
            # Guards against a flood that shuts out a collector whose joining has come and was not read yet.
            oldest.pull()
            if oldest in self.strangers:
                self._turn_away(oldest, "too many")

    def _join_due(self, stream: Stream, peer: Peer) -> None:
        if stream.sock is None or peer.joined:
            return
        askers = [each for each, other in self.strangers.items() if other.asked]
        if not peer.asked:
            self._turn_away(stream, "did not join")
        elif len(askers) > KEPT_ASKERS:
            self._turn_away(askers[0], "too many askers")

    def _turn_away(self, stream: Stream, reason: str) -> None:
        self.dropped[reason] += 1
        stream.write(NACK)
        stream.abort("turned away")

    def _gone(self, stream: Stream) -> None:
        for known in (self.strangers, self.collectors, self.owed):
            known.pop(stream, None)

    def _heard(self, stream: Stream, peer: Peer, data: bytes) -> None:
        events, answer, over = peer.take(data)
        if peer.joined and stream in self.strangers:
            del self.strangers[stream]
            self.collectors[stream] = peer
        if stream in self.collectors:
            # The one that was silent for longest goes: those that report stay, whoever else joins.
            self.collectors[stream] = self.collectors.pop(stream)
            if len(self.collectors) > self.most_collectors:
                next(iter(self.collectors)).abort("replaced")
        self.hear(events)
        if not self.ready and PONG in answer:
            # Guards against being taken for one that can be used: before it is, nobody gets a sign of life.
            self.owed[stream] = self.owed.get(stream, b"") + answer.replace(NACK, b"")
            answer, over = answer.replace(PONG, b""), over or len(self.owed[stream]) > MOST_ASKED
        if answer:
            stream.write(answer)
        if over:
            stream.abort("turned away")

    def look_ready(self) -> None:
        """Gives signs of life from when the supervisor can be used."""
        if self.ready:
            return
        late = self.loop.clock() - self.began > READY_WITHIN
        heard = any(watcher.reader.spoke or watcher.reader.standing is not None for watcher in self.watchers)
        if not (late or (heard and self.discovery.spoke)):
            return
        self.ready = True
        self.log("ready", after=round(self.loop.clock() - self.began, 3))
        owed, self.owed = self.owed, {}
        for stream, answer in owed.items():
            stream.write(answer)

    # ---- each second ------------------------------------------------------------------------------------------

    def _second(self) -> None:
        now = self.loop.clock()
        self.latest = max(self.latest, now - self.next_second)
        self.next_second = max(self.next_second + 1, now + 0.5)
        self.loop.at(self.next_second, self._second)
        self.look_ready()
        for watcher in self.watchers:
            watcher.look(now)
        self.discovery.look(now)
        host, brain = self.host, self.host.brain
        ready = [i for i, state in enumerate(brain.state) if state == face.READY]
        self.log(
            "second",
            joined=len(host.joins.held),
            listed=len(host.roster.entries),
            version=host.roster.version,
            out=sum(brain.out_at[i] is not None for i in ready),
            cold=sum(not brain._warm(i) for i in ready),
            let_in=round(brain.let_in, 3),
            tries=brain.tries,
            waiting=len(host.orders.waiting),
            unanswered=len(brain.unanswered),
            channel=round(brain._waiting()),
            calls=host.orders.calls,
            repeats=host.orders.repeats,
            proved=host.orders.proved,
            refused=host.orders.refused,
            turned_away=host.orders.turned_away,
            faults=host.faults,
            longest=round(self.longest, 4),
            late=round(self.latest, 4),
            cpu=round(time.process_time(), 3),
            rss=memory(),
            fds=len(os.listdir("/proc/self/fd")),
            strangers=len(self.strangers),
            collectors=len(self.collectors),
            dials=[self.orders.dials, *(w.link.dials for w in self.watchers), self.discovery.link.dials],
            dropped=dict(self.dropped),
            hushed=max(0, self.lines_logged - 20),
        )
        self.longest = self.latest = 0.0
        self.lines_logged = 0

    # ---- new configurations -----------------------------------------------------------------------------------

    def renew(self, told: Told) -> None:
        """A new configuration: the new addresses are dialled at once; what the module has learnt stays. The rest holds
        from start to end, and what is given otherwise is said."""
        ignored = [name for name in HELD if getattr(told, name) != getattr(self.told, name)]
        self.log("configuration", discovery=told.discovery, relay=told.relay, ignored=ignored)
        if told.discovery != self.told.discovery:
            self.discovery.move(told.discovery)
        if told.relay != self.told.relay:
            for watcher in self.watchers:
                watcher.move(told.relay)
        self.told = self.told._replace(discovery=told.discovery, relay=told.relay)
        self._soon()


class Follower:
    """A connection whose other side tells on and on, and the one that follows it at a new address."""

    name = spoilt = ""  # in the log: what is followed, and what it is called when it cannot be read
    silent = 0.0  # seconds without a word, after which it is dialled anew

    def __init__(self, service: Service, address: tuple[str, int]) -> None:
        self.service = service
        self.old: Link | None = None
        self.spoke = False  # it has told once, on whichever connection
        self._begin(address)

    def make(self) -> News | Watch:
        """What reads a new connection."""
        raise NotImplementedError

    def _begin(self, address: tuple[str, int]) -> None:
        self.host = f"{address[0]}:{address[1]}"
        self.reader, self.opened_at = self.make(), self.service.loop.clock()
        self.link = Link(
            self.service.loop,
            self.service.random,
            address,
            self._open,
            self._data,
            lambda reason: self.service._note(f"{self.name}_lost", reason=reason),
        )

    def move(self, address: tuple[str, int]) -> None:
        """Dials a new address; the old one is let go once the new tells, or closes by itself."""
        reader, link = self.reader, self.link
        if self.old is not None and self.old.up:
            link.close()  # it has not told yet: the one that did goes on until another does
        else:
            self.old, link.closed = link, True
            if link.up:
                link.stream.on_data = lambda data: self._take(reader, link, data)
            else:
                link.close()
        self._begin(address)

    def _open(self) -> None:
        self.reader, self.opened_at = self.make(), self.service.loop.clock()
        self.link.write(self.reader.ask())

    def _data(self, data: bytes) -> None:
        self._take(self.reader, self.link, data)
        if self.reader.spoke:
            self.spoke = True
            self.link.proved()
            if self.old is not None:
                self.old.close()
                self.old = None
        self.service.look_ready()

    def _take(self, reader: News | Watch, link: Link, data: bytes) -> None:
        try:
            self.service.hear(reader.take(data, self.service.loop.clock()))
        except (Spoilt, Broken) as error:
            reason, *events = error.args
            self.service.hear([event for told in events for event in told])
            self.service._note(f"{self.name}_{self.spoilt}", reason=reason)
            link.drop(self.spoilt)

    def look(self, now: float) -> None:
        """Guards against a connection that stands and says nothing, or only what never becomes a line."""
        if self.link.up and now - max(self.opened_at, self.reader.heard_at) > self.silent:
            self.link.drop("silent")


class Watcher(Follower):
    """News of proxies."""

    name, spoilt, silent = "news", "spoilt", NEWS_SILENT

    def make(self) -> News:
        return News(self.service.host.words, self.service.host.joins)

    def look(self, now: float) -> None:
        super().look(now)
        if self.link.up:
            self.service.hear(self.reader.agree())


class Discovery(Follower):
    """The watch of the list."""

    name, spoilt, silent = "discovery", "broken", SILENT

    def make(self) -> Watch:
        return Watch(self.service.host.roster, self.host)


def memory() -> float:
    """MB that the process holds, as the kernel counts them."""
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 2**20, 2)
    except OSError:
        return 0.0


def settle_memory() -> None:
    """What stands after the start is not looked through again for garbage."""
    gc.collect()
    gc.freeze()
