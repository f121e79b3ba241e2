"""One supervisor on the platform: connects the hosted decisions module to discovery, the relay and the collectors."""

from __future__ import annotations

import gc
import os
import resource
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from driftshed import interface as face
from driftshed.core.hosting import ModuleHost
from driftshed.net.loop import Loop, Timer
from driftshed.net.stream import Listener, Stream
from driftshed.node import status
from driftshed.node.codec import GROUPS_PER_MODULE, InvalidMessage, PlatformCodec
from driftshed.node.collectors import NACK, PONG, Peer
from driftshed.node.config import SupervisorOptions
from driftshed.node.discovery import SILENCE_TIMEOUT_S, Roster, Watch, WatchFailed
from driftshed.node.link import Link
from driftshed.node.notifications import NOTIFICATION_TIMEOUT_S, JoinState, NotificationReader
from driftshed.node.relay import Channel, OrderQueue, ProtocolError, Repeat
from driftshed.node.rule_margins import RuleMargins

JOIN_TIMEOUT_S = 1.2  # from connecting until a collector must have joined
UNJOINED_SHARE = 1 / 2  # share of the descriptors for peers that have not joined
# For all but incoming connections: roster, notifications and calls at two addresses, listener, loop, log.
RESERVED_DESCRIPTORS = 16
MAX_PINGERS = 16  # unjoined peers that have sent a ping and stay connected
MIN_COLLECTORS = 32  # collectors that may be connected at once; one for each zone if there are more zones
MAX_PENDING_EVENTS = 8192  # events that wait for the module
READY_TIMEOUT_S = 2.0  # then pings are answered whether or not relay and discovery have responded
RELAY_WATCHERS = 2  # connections with notifications of proxies
FIXED_SETTINGS = ("name", "listen", "sockets", "facts")  # fields that a reload does not change
SILENCE_CHECK_INTERVAL_S = 0.1
MAX_OWED_BYTES = 1 << 16  # of answers to pings held back for one peer until the supervisor is ready


class SupervisorHost(ModuleHost):
    """The decisions module with the state kept outside of it: roster, joined proxies, queued orders, channel load."""

    def __init__(self, config: SupervisorOptions, now: float, wall: float) -> None:
        """`now`: the loop's clock; `wall`: unix time. Both in seconds, at the same moment."""
        super().__init__(config.facts, config.seed, now)
        self.codec = PlatformCodec(config.facts, now - wall, config.names)
        self.roster, self.join_state, self.orders = Roster(self.codec), JoinState(), OrderQueue()
        self.channel = Channel(config.facts)
        self.withdrawn: set[face.Server] = set()  # by the current module
        self.undo_ops: list[dict] = []  # operations that revert withdrawals of a replaced module
        self.margins = RuleMargins(config.facts, now)
        self.on_worst: Callable[[dict], object] = lambda fields: None
        self.on_turn = self._follow_turn

    def _follow_turn(self, now: float, events: list, orders: list) -> None:
        for fields in self.margins.turn(now, self.brain, events, orders):
            self.on_worst(fields)

    def current_state_events(self) -> list:
        """The events from which a new module starts: the roster and the joined proxies."""
        return self.roster.snapshot() + [each._replace(fresh=False) for each in self.join_state.joined.values()]

    def discard_orders(self) -> None:
        """Reverts the withdrawals of a replaced module; the new one has its own tables."""
        self.undo_ops = [self.codec.encode_order(face.Withdraw(False, server), 0) for server in sorted(self.withdrawn)]
        self.withdrawn.clear()
        self.margins.drains.module_replaced()

    @property
    def first_group(self) -> int:
        """Group number of table 0 of the current module."""
        return self.faults % GROUPS_PER_MODULE * GROUPS_PER_MODULE

    def run_turn(self, now: float) -> None:
        """Runs the module on the pending events and queues its orders, unless earlier orders are still queued: so it
        decides on the current state, and the queue stays bounded."""
        if self.orders.waiting:
            return
        # The module may not use the room that lines other than its own orders take in the channel.
        self.brain.queue_cap = self.channel.cap - self.channel.lines(now)
        if self.channel.message_cap:
            self.brain.message_cap = max(1, self.channel.message_cap - self.channel.messages(now))
        ops, self.undo_ops = self.undo_ops, []
        for order in self.run_module(now):
            op = self.codec.encode_order(order, self.first_group)
            if op is not None:
                ops.append(op)
            if isinstance(order, face.Withdraw):
                (self.withdrawn.add if order.on else self.withdrawn.discard)(order.server)
        if ops:
            self.orders.enqueue(ops)

    def lines_of_mark(self, mark: int | None) -> float:
        """Lines in the channel for the orders with this mark, as the module counts them."""
        return sum(lines for each, lines, _ in self.brain.channel if each == mark)

    def orders_connection_lost(self, now: float) -> None:
        """Handles the end of the connection for calls."""
        if self.orders.connection_lost():
            before = self.brain.waiting_lines() - self.lines_of_mark(self.orders.waiting[0].mark)
            self.channel.call_in_doubt(now, before)

    def next_call(self, now: float) -> bytes | None:
        """The encoded call to send now, or None. A call that may have been carried out is repeated once the channel has
        room for it twice, or once it is certain that it was not carried out."""
        orders = self.orders
        if orders.in_doubt and orders.sent_at is None and now >= orders.not_before:
            self._decide_repeat(now)
        return orders.next_call(now)

    def _decide_repeat(self, now: float) -> None:
        """Lets the call in doubt go again now, or puts it off until it is certain that it was not carried out."""
        orders, call = self.orders, self.orders.waiting[0]
        proxies = {proxy for op, _ in call.ops for proxy in self._concerned_proxies(op)} & self.brain.proxy_zone.keys()
        cap = self.channel.message_cap or float("inf")
        messages_fit = all(self.brain.messages_sent(proxy) < cap for proxy in proxies)
        lines = self.lines_of_mark(call.mark)
        repeat = self.channel.may_repeat(now, lines, self.brain.waiting_lines(), orders.mark_seen, messages_fit)
        if repeat is Repeat.NOT_YET:
            orders.not_before = self.channel.disproved_at
        elif repeat is Repeat.SECOND:
            for proxy in proxies:
                self.brain.message_times[proxy].append(now)

    def _concerned_proxies(self, op: dict) -> list[int]:
        if op["do"] == "attach":
            return [op["id"]]
        if op["do"] in ("eject", "uneject"):
            return list(self.brain.proxy_zone)
        group = op.get("group")
        return [proxy for proxy, part in self.brain.held_part.items() if part + self.first_group == group]

    def add_events(self, events: list) -> None:
        """Queues events for the module. Beyond MAX_PENDING_EVENTS it discards reports; other events are kept."""
        left = {event.proxy for event in events if isinstance(event, face.Left)}
        if left:
            self.orders.drop_proxies(left)
        for event in events:
            if isinstance(event, face.Applied):
                self.orders.mark_answered(event.mark)
                self.channel.observe_latency(event.took)
        self.pending_events += events
        if len(self.pending_events) > MAX_PENDING_EVENTS:
            self.pending_events = [e for e in self.pending_events if not isinstance(e, face.Heard | face.Demand)]


class Service:
    """Runs one supervisor on a loop until `loop.stop()`. `log(event, **fields)` writes one line."""

    def __init__(
        self, loop: Loop, config: SupervisorOptions, log: Callable[..., None], wall: Callable[[], float] = time.time
    ) -> None:
        """Listens and starts connecting; raises OSError if the address is not available. `wall()`: unix time in s."""
        self.loop, self.config, self.log = loop, config, log
        self.started_at = loop.clock()
        self.host = SupervisorHost(config, self.started_at, wall())
        self.random = Random(config.seed)
        self.dropped: Counter[str] = Counter()
        self.timer: Timer | None = None
        self.turn_scheduled = False
        self.max_turn_s = self.max_delay_s = 0.0
        self.unknown_peers: dict[Stream, Peer] = {}  # peers that have not joined, oldest first
        self.collectors: dict[Stream, Peer] = {}
        self.pending_pongs: dict[Stream, bytes] = {}  # answers to pings held back until the supervisor is ready
        room = max(config.sockets // 4, config.sockets // 2 - RESERVED_DESCRIPTORS)
        self.max_collectors = min(max(MIN_COLLECTORS, len(config.facts.zones)), room)
        self.ready = False
        self.lines_logged = 0
        host = self.host
        host.on_worst = lambda fields: self._log_limited("worst", **fields)
        host.on_log = lambda text: self._log_limited("decided", text=text)
        host.on_fault = self._handle_fault
        host.orders.on_refused = lambda op: self._log_limited("refused", op=op)
        if config.known:
            for _ in range(2):  # the list is not sent again: the second pass skips its invalid entries
                try:
                    self.handle_events(host.roster.apply(config.known, face.CACHED))
                    break
                except InvalidMessage as error:
                    log("known_list_unusable", level="warning", reason=str(error))
        self.listener = Listener(loop, config.listen, self._accept, 1 << 16)
        self.orders = self._open_orders_link(config.relay)
        self.watchers = [Watcher(self, config.relay) for _ in range(RELAY_WATCHERS)]
        self.discovery = Discovery(self, config.discovery)
        self.next_second = self.started_at + 1
        loop.at(self.next_second, self._every_second)
        loop.after(SILENCE_CHECK_INTERVAL_S, self._check_silence)
        self._schedule_turn()

    def _log_limited(self, event: str, level: str = "info", **fields: object) -> None:
        """Writes a log line, at most 20 between two lines with the figures of a second; the others are counted."""
        self.lines_logged += 1
        if self.lines_logged <= 20:
            self.log(event, level=level, **fields)

    def _handle_fault(self, fault) -> None:
        now, brain = self.loop.clock(), self.host.brain
        # Guards against a new module that assumes an empty channel: it still carries the old module's orders.
        self.host.channel.add(now, brain.waiting_lines(), 0.0, max(map(len, brain.message_times.values()), default=0))
        self.log(
            "module_fault",
            level="error",
            error=fault.error,
            place=fault.place,
            last=[repr(event)[:200] for event in fault.event_batches[-1][1][:20]],
        )
        self._schedule_turn()

    # ---- turns ------------------------------------------------------------------------------------------------

    def handle_events(self, events: list) -> None:
        """Logs roster updates, queues the events for the module and schedules a turn."""
        if skipped := self.host.roster.skipped:
            self._log_limited("list_entries_skipped", level="warning", count=len(skipped), first=skipped[0])
            skipped.clear()
        for event in events:
            if isinstance(event, face.Listing):
                self._log_limited(
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
            self.host.add_events(events)
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        """Schedules one turn for this round of the loop, so that events received together are handled together."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        began = self.loop.clock()
        self.host.run_turn(began)
        self._send_next_call()
        self.max_turn_s = max(self.max_turn_s, self.loop.clock() - began)
        at = self.host.module_due_at() if not self.host.orders.waiting else began + 1
        # Without a connection nothing is due: one that opens schedules a turn.
        deadline = self.host.orders.next_due_at() if self.orders.connected else None
        at = at if deadline is None else min(at, deadline)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.at(max(at, began + 1e-3), self._handle_deadline)

    def _handle_deadline(self) -> None:
        self.timer = None
        if self.host.orders.timed_out(self.loop.now):
            self._log_limited("answer_late")
            self.orders.drop("late")
        self._schedule_turn()

    # ---- the relay --------------------------------------------------------------------------------------------

    def _send_next_call(self) -> None:
        if self.orders.address != self.config.relay and not (
            self.orders.connected and self.host.orders.sent_at is not None
        ):
            # Calls change to a new relay address only here, between two calls: an answer still arrives on the old
            # connection. Guards against configurations in quick succession, and against a call that stays outstanding
            # at an abandoned address.
            self.orders.close()
            self.orders = self._open_orders_link(self.config.relay)
        if self.orders.connected:
            text = self.host.next_call(self.loop.clock())
            if text is not None:
                self.orders.write(text)

    def _open_orders_link(self, relay: tuple[str, int]) -> Link:
        return Link(self.loop, self.random, relay, self._orders_open, self._orders_data, self._orders_lost)

    def _orders_open(self) -> None:
        self.host.orders.connection_opened()
        self._schedule_turn()

    def _orders_data(self, data: bytes) -> None:
        try:
            self.host.orders.feed(data, self.loop.clock())
            self.orders.reset_backoff()
        except ProtocolError as error:
            self._log_limited("answer_spoilt", reason=str(error))
            self.orders.drop("spoilt")
        self._schedule_turn()

    def _orders_lost(self, reason: str) -> None:
        self.host.orders_connection_lost(self.loop.clock())
        self._schedule_turn()

    # ---- incoming connections ---------------------------------------------------------------------------------

    def _accept(self, stream: Stream) -> None:
        peer = Peer(self.host.codec, self.host.roster.entries.__contains__, self.dropped)
        self.unknown_peers[stream] = peer
        stream.on_data = lambda data: self._handle_data(stream, peer, data)
        stream.on_end = lambda reason: self._handle_end(stream)
        self.loop.after(JOIN_TIMEOUT_S, lambda: self._check_joined(stream, peer))
        while len(self.unknown_peers) > self.config.sockets * UNJOINED_SHARE:
            oldest = next(iter(self.unknown_peers))
            # Guards against a flood that shuts out a collector whose join was received but not read yet.
            oldest.pull()
            if oldest in self.unknown_peers:
                self._reject(oldest, "too many")

    def _check_joined(self, stream: Stream, peer: Peer) -> None:
        if stream.sock is None or peer.joined:
            return
        pingers = [each for each, other in self.unknown_peers.items() if other.pinged]
        if not peer.pinged:
            self._reject(stream, "did not join")
        elif len(pingers) > MAX_PINGERS:
            self._reject(pingers[0], "too many askers")

    def _reject(self, stream: Stream, reason: str) -> None:
        self.dropped[reason] += 1
        stream.write(NACK)
        stream.abort("turned away")

    def _handle_end(self, stream: Stream) -> None:
        for peers in (self.unknown_peers, self.collectors, self.pending_pongs):
            peers.pop(stream, None)

    def _handle_data(self, stream: Stream, peer: Peer, data: bytes) -> None:
        events, answer, close = peer.feed(data)
        if peer.joined and stream in self.unknown_peers:
            del self.unknown_peers[stream]
            self.collectors[stream] = peer
        if stream in self.collectors:
            # The collector that has been silent longest is closed: reporting ones stay, whoever else joins.
            self.collectors[stream] = self.collectors.pop(stream)
            if len(self.collectors) > self.max_collectors:
                next(iter(self.collectors)).abort("replaced")
        self.handle_events(events)
        if not self.ready and PONG in answer:
            # Guards against appearing usable too early: until the supervisor is ready no ping is answered.
            self.pending_pongs[stream] = self.pending_pongs.get(stream, b"") + answer.replace(NACK, b"")
            answer, close = answer.replace(PONG, b""), close or len(self.pending_pongs[stream]) > MAX_OWED_BYTES
        if answer:
            stream.write(answer)
        if close:
            stream.abort("turned away")
        elif stream.sock is not None:
            # Guards against a peer that gets as much of a round as it sends.
            stream.pause(peer.may_have_more)
            if peer.may_have_more:
                self.loop.soon(lambda: self._handle_rest(stream, peer))

    def _handle_rest(self, stream: Stream, peer: Peer) -> None:
        if stream.sock is not None:
            self._handle_data(stream, peer, b"")

    def check_ready(self) -> None:
        """Marks the supervisor ready once relay and discovery have synced or the timeout has passed, and then sends the
        answers to pings that were held back."""
        if self.ready:
            return
        late = self.loop.clock() - self.started_at > READY_TIMEOUT_S
        relay_synced = any(
            watcher.reader.synced or watcher.reader.initial_proxies is not None for watcher in self.watchers
        )
        if not (late or (relay_synced and self.discovery.synced)):
            return
        self.ready = True
        self.log("ready", after=round(self.loop.clock() - self.started_at, 3))
        pending, self.pending_pongs = self.pending_pongs, {}
        for stream, answer in pending.items():
            stream.write(answer)

    # ---- each second ------------------------------------------------------------------------------------------

    def _check_silence(self) -> None:
        """Guards against proxies that join unseen meanwhile: a connection that has gone silent is left at once."""
        self.loop.after(SILENCE_CHECK_INTERVAL_S, self._check_silence)
        now = self.loop.clock()
        for follower in (*self.watchers, self.discovery):
            follower.check_silence(now)

    def _every_second(self) -> None:
        now = self.loop.clock()
        self.max_delay_s = max(self.max_delay_s, now - self.next_second)
        self.next_second = max(self.next_second + 1, now + 0.5)
        self.loop.at(self.next_second, self._every_second)
        self.check_ready()
        for watcher in self.watchers:
            watcher.reconcile()
        host, brain = self.host, self.host.brain
        ready = [i for i, state in enumerate(brain.state) if state == face.READY]
        for fields in host.margins.second(now, brain):
            self._log_limited("worst", **fields)
        self.log(
            "second",
            worst=host.margins.fields(),
            open_drain=host.margins.open_drain(now),
            joined=len(host.join_state.joined),
            doubted=host.join_state.doubted,
            listed=len(host.roster.entries),
            version=host.roster.version,
            out=sum(brain.withdrawn_at[i] is not None for i in ready),
            shut_out=sum(brain.withdrawn),  # by the orders sent so far
            unbound=len(brain.waiting_since),  # joined proxies that wait for their table
            longest_unbound=status.longest_unbound(brain, now),
            leaving=status.leaving_lines(brain, now),
            held=status.held_servers(brain),
            cold_share=status.cold_share(brain),
            cold_lines=status.cold_lines(brain),
            cold=sum(not brain.is_warm(i) for i in ready),
            let_in=round(brain.admitted_share, 3),
            tries=brain.tries,
            waiting=len(host.orders.waiting),
            unanswered=len(brain.unanswered),
            channel=round(brain.waiting_lines()),
            calls=host.orders.calls,
            repeats=host.orders.repeats,
            proved=host.orders.proved,
            refused=host.orders.refused,
            turned_away=host.orders.turned_away,
            faults=host.faults,
            longest=round(self.max_turn_s, 4),
            late=round(self.max_delay_s, 4),
            cpu=round(time.process_time(), 3),
            rss=resident_mb(),
            fds=len(os.listdir("/proc/self/fd")),
            strangers=len(self.unknown_peers),
            collectors=len(self.collectors),
            dials=[self.orders.dials, *(w.link.dials for w in self.watchers), self.discovery.link.dials],
            dropped=dict(self.dropped),
            hushed=max(0, self.lines_logged - 20),
        )
        self.max_turn_s = self.max_delay_s = 0.0
        self.lines_logged = 0

    # ---- new configurations -----------------------------------------------------------------------------------

    def reconfigure(self, config: SupervisorOptions) -> None:
        """Applies a new configuration: connects to changed addresses at once and keeps the module's state. Other fields
        cannot change while the process runs; differences in them are logged as ignored."""
        ignored = [name for name in FIXED_SETTINGS if getattr(config, name) != getattr(self.config, name)]
        self.log("configuration", discovery=config.discovery, relay=config.relay, ignored=ignored)
        if config.discovery != self.config.discovery:
            self.discovery.move(config.discovery)
        if config.relay != self.config.relay:
            for watcher in self.watchers:
                watcher.move(config.relay)
        self.config = self.config._replace(discovery=config.discovery, relay=config.relay)
        self._schedule_turn()


class Follower:
    """Follows a stream of updates from one side, and moves to a new address without a gap."""

    name = malformed = ""  # parts of log event names: the stream, and what it is called if malformed
    silence_timeout = 0.0  # seconds without a line after which it reconnects

    def __init__(self, service: Service, address: tuple[str, int]) -> None:
        """Starts connecting to `address`."""
        self.service = service
        self.previous_link: Link | None = None
        self.previous_reader: NotificationReader | Watch | None = None
        self.moved_at = 0.0  # when the address was last left
        self.synced = False  # the initial read was complete once, on any connection
        self._connect(address)

    def make_reader(self) -> NotificationReader | Watch:
        """A reader for a new connection."""
        raise NotImplementedError

    def _connect(self, address: tuple[str, int]) -> None:
        self.host = f"{address[0]}:{address[1]}"
        self.reader, self.opened_at = self.make_reader(), self.service.loop.clock()
        loop, random = self.service.loop, self.service.random
        self.link = link = Link(
            loop, random, address, self._open, self._data, lambda reason: self._handle_loss(link, reason)
        )

    def _handle_loss(self, link: Link, reason: str) -> None:
        self.service._log_limited(f"{self.name}_lost", reason=reason)
        self.handle_end(self.reader if link is self.link else self.previous_reader)

    def handle_end(self, reader: NotificationReader | Watch) -> None:
        """Called when the connection of a reader has ended."""

    def may_leave_previous(self) -> bool:
        """Whether nothing is missed without the connection to the address before."""
        return self.reader.synced

    def move(self, address: tuple[str, int]) -> None:
        """Connects to a new address. The old connection is followed until nothing is missed without it, it goes silent,
        or the old side closes it."""
        reader, link = self.reader, self.link
        if self.previous_link is not None and self.previous_link.connected:
            link.close()  # not synced yet: the previous link continues until another has synced
        else:
            self.previous_link, self.previous_reader, link.closed = link, reader, True
            self.moved_at = self.service.loop.clock()
            if link.connected:
                link.stream.on_data = lambda data: self._previous_data(reader, link, data)
            else:
                link.close()
        self._connect(address)

    def _open(self) -> None:
        self.reader, self.opened_at = self.make_reader(), self.service.loop.clock()
        self.link.write(self.reader.request())

    def _data(self, data: bytes) -> None:
        self._feed(self.reader, self.link, data)
        if self.reader.synced:
            self.synced = True
            self.link.reset_backoff()
            self._leave_previous()
        self.service.check_ready()

    def _previous_data(self, reader: NotificationReader | Watch, link: Link, data: bytes) -> None:
        self._feed(reader, link, data)
        self._leave_previous()

    def _leave_previous(self) -> None:
        """Closes the connection to the address before, once nothing is missed without it."""
        if self.previous_link is not None and self.may_leave_previous():
            link, waited = self.previous_link, self.service.loop.clock() - self.moved_at
            self.service.log(f"{self.name}_moved", after=round(waited, 3))
            link.close()
            self.previous_link = self.previous_reader = None

    def _feed(self, reader: NotificationReader | Watch, link: Link, data: bytes) -> None:
        try:
            self.service.handle_events(reader.feed(data, self.service.loop.clock()))
        except (ProtocolError, WatchFailed) as error:
            reason, *events = error.args
            self.service.handle_events([event for batch in events for event in batch])
            self.service._log_limited(f"{self.name}_{self.malformed}", reason=reason)
            link.drop(self.malformed)

    def check_silence(self, now: float) -> None:
        """Drops a silent connection. Guards against a connection that stays open and sends nothing, or only bytes that
        never complete a line."""
        if self.link.connected and now - max(self.opened_at, self.reader.received_at) > self.silence_timeout:
            self.link.drop("silent")
        previous = self.previous_link
        if previous is not None and previous.connected:
            if now - max(self.moved_at, self.previous_reader.received_at) > self.silence_timeout:
                previous.drop("silent")


class Watcher(Follower):
    """Follows the relay's notifications of proxies."""

    name, malformed, silence_timeout = "news", "spoilt", NOTIFICATION_TIMEOUT_S

    def make_reader(self) -> NotificationReader:
        """A reader that merges this connection into the shared state of joined proxies."""
        return NotificationReader(self.service.host.codec, self.service.host.join_state)

    def handle_end(self, reader: NotificationReader) -> None:
        """Passes on the joins that the end of this connection puts in doubt."""
        self.service.handle_events(reader.close())

    def may_leave_previous(self) -> bool:
        """Guards against proxies that left and joined again before the new connection began, which the old one has yet
        to report: the new one lists them as they were."""
        return self.reader.stands_alone

    def reconcile(self) -> None:
        """Corrects proxies whose state this connection has contradicted for longer than the maximum lag."""
        if self.link.connected:
            self.service.handle_events(self.reader.reconcile())


class Discovery(Follower):
    """Follows discovery's list of servers."""

    name, malformed, silence_timeout = "discovery", "broken", SILENCE_TIMEOUT_S

    def make_reader(self) -> Watch:
        """A watch that continues from the roster's version."""
        return Watch(self.service.host.roster, self.host)


def resident_mb() -> float:
    """Resident memory of the process in MB (2**20 bytes), as counted by the kernel; 0 if not available."""
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 2**20, 2)
    except OSError:
        return 0.0


def freeze_startup_objects() -> None:
    """Excludes the objects that exist after the start from garbage collection."""
    gc.collect()
    gc.freeze()
