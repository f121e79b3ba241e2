"""Decides, for one supervisor, which orders go to its proxies.

    brain = Brain(facts, seed, now)     # facts: interface.StartFacts
    orders = brain.handle(now, events)  # deterministic: the same events always return the same orders

The types of facts, events and orders are in `driftshed/interface.py`. The design (docs/design.md) covers the
ordinary table: zones complain, lasting complaints of enough zones withdraw a server under caps, the server returns
in entry steps, and the weights of ONE shared table follow latency. At most six mechanisms go beyond the design:

 1. List changes: a draining or gone server loses its line at once, outside the caps; where proxies wait for their table
    it is withdrawn.
 2. Slow start: a cold server gets no more weight than it can certainly bear by now, and no more of all tries; one that
    does worse than its warmth explains, or did before it restarted, stays at the first entry step. A part of cold
    servers alone admits what they can bear; one with a single warm server makes no further tries.
 3. Minimum availability: withdrawals for health are lifted when they would leave no warm, ready server.
 4. Paced orders: ordinary changes go out one marked round at a time; capacity is reserved for urgent ones.
 5. Tries and levels: under strain, further tries are cut first, then admission, the lowest value first.
 6. Parts: a shared table that is too long is split into parts, and each proxy is assigned one of them.
"""

from bisect import bisect_right
from collections import Counter, OrderedDict, defaultdict, deque
from math import ceil
from random import Random

from driftshed import interface as face
from driftshed.channel_clock import ChannelClock
from driftshed.cold_capacity import LARGEST_SLOWDOWN, ColdSample, certain_capacity
from driftshed.figures import RunningMedian, ZoneLoad, fair_rate, median, server_label, weighted_median

LONG_AGO = float("-inf")  # a time before every other
ANY_ZONE = -1  # zone of the single part of a small fleet
NO_PART = -1  # part of a server without a line

# ---- values of the design (docs/design.md) ----

SLOW_LATENCY_RATIO = 2.0  # a zone complains of a latency above this many times its baseline
ERROR_SHARE = 0.10  # a zone complains of a larger share of errored tries
COMPLAINT_MIN_AGE_S = 6.0  # a complaint counts from this long after it was first raised
COMPLAINT_EXPIRY_S = 15.0  # a complaint counts until this long after it was last renewed
MIN_COMPLAINING_ZONES = 2  # zones that must complain before a server is withdrawn
MAX_WITHDRAWN = 2  # servers out of service for health at a time
MAX_WITHDRAWN_SHARE = 1 / 3  # of the servers
WITHDRAWAL_BUDGET = 5  # withdrawals within WITHDRAWAL_BUDGET_WINDOW_S
WITHDRAWAL_BUDGET_WINDOW_S = 30.0
WITHDRAWAL_DURATION_S = 10.0
ENTRY_WEIGHT_SHARE = 0.1  # weight of the first entry step, as a share of the average weight
ENTRY_STEP_S = 2.0  # the weight doubles after each step
ENTRY_STEPS = 4  # steps until a server has its full weight
SOLVE_INTERVAL_S = 3.0
MAX_SOLVE_STEP = 0.2  # largest relative change of a factor in one solve
MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
MIN_RELATIVE_CHANGE = 0.1  # of the present weight or level: smaller changes are not sent

# ---- values of the mechanisms beyond the design ----

# Of the tip multiple: the load that a cold server may be given. A machine that goes slow while its server is cold has
# been sent too much before any report can show it.
SLOW_START_LIMIT = 1 / LARGEST_SLOWDOWN
# After a start, reports may still tell of what the server did before.
OLD_REPORTS_S = 2.0
URGENT_CUT_RATIO = 1 / 2  # of the present weight of a cold server: a cut below it is urgent
# Of the weight that a part should have: where less of it remains after removals, its other changes become urgent too.
REMAINING_WEIGHT_THRESHOLD = 1 / 2
SOLVE_EXPONENT = 1 / 3  # of the latency ratio in a solve: most latency is queueing, which reacts with a delay
FACTOR_DECAY = 1 / 3  # exponent of the regression toward the listed weight in a solve, where weights are listed
RETENTION_PER_SOLVE = 1 / 2  # retention factor of the observed tries and times from one solve to the next
VIEW_WINDOW_S = COMPLAINT_MIN_AGE_S / 2  # a zone's median covers the reports of this window
STRAIN_THRESHOLD = 2 / 5  # of the latency objective: strain where the median server's latency is above it
RECOVERY_THRESHOLD = 2 / 3  # of the strain threshold: no strain below it (hysteresis)
ELEVATED_LATENCY_RATIO = 1.5  # over the lowest latency of the median server; over the latency of the best part
BUSY_UTILISATION = 0.85  # share of a server's cores in use that counts as strain
ADMITTED_PER_ANSWERED = 0.9  # most that is admitted under strain, as a share of the answered rate
MIN_ADMITTED_SHARE = 0.1  # of all arrivals
ADMISSION_CUT_FACTOR = 0.6  # largest cut of the admitted share in one evaluation, as a factor
ADMISSION_RISE_FACTOR = 1.2  # largest rise of the admitted share in one evaluation, as a factor
DECAY_PER_EVALUATION = 0.97  # exponential decay of the best observed values
RETRY_ALLOWANCE = 0.05  # further tries, as a share of arrivals, that count as hardly any
LOW_VALUE_RATIO = 2.0  # operations whose value per unit of work is within this ratio of the lowest are cut together
MAX_MARK = 65534  # marks run from 1 to this number, then start again
DEAD_ERROR_SHARE = 0.9  # of the tries errored: complaints count after half the time
MAX_REPORTS_IN_VIEW = 64  # of a server by a zone, the latest
MIN_TRIES = 5  # with fewer tries in its window a zone has no view of a server
BASELINE_TIME_CONSTANT_S = 2 * COMPLAINT_EXPIRY_S  # of the moving average that is a zone's baseline
ORDINARY_SHARE = 1 / 2  # of the message cap and of the lines sent within a grace; the rest is reserved for urgent ones
DRAINED_SHARE = 1 / 5  # of the servers of a part: those that a release takes at once
STANDING_TABLES_PER_PART = 2  # most lines of a part, in lengths of a standing table
MIN_PROXIES_PER_PART = 5
# Of the connections that a server accepts: the proxies that may hold a line to it. Servers slow down as their
# connections fill up.
CONNECTION_SHARE = 1 / 7
OWN_ZONE_PREFERENCE = 4.0  # how much more a part of the proxy's own zone counts
IMBALANCE_TOLERANCE = 0.2  # of its target share: beyond it a part gives proxies away
BALANCING_ROUNDS = 4  # iterations that bring the demand on each part in line with its weight


class Brain:
    """The decision module of one supervisor.

    Time enters by `now` alone and chance by the seed, so the same calls always return the same orders. Servers live in
    parallel arrays under a dense slot number; a slot is reused once its server is long gone. All times are seconds.
    """

    def __init__(self, facts: face.StartFacts, seed: int, now: float) -> None:
        """An instance without servers or proxies; they come with the first events."""
        self.random = Random(seed)
        self.now = now
        self.subscribe_retry_interval = facts.ask_within / 8
        self.weights_listed = facts.listed_weights != "off"
        self.cold_share = facts.cold_share
        self.warm_within = facts.warm_within
        self.slow_start_limit = facts.tip_multiple * SLOW_START_LIMIT
        self.queue_cap = facts.queue_cap
        self.picks_of_two = facts.pick == "two"
        self.message_overhead = facts.lines_per_message + 1  # in lines, with that of the mark
        self.round_lines = ORDINARY_SHARE * min(self.queue_cap, facts.lines_per_second * facts.drain_grace)
        self.drain_grace = facts.drain_grace
        self.lines_per_second, self.worst_transit = facts.lines_per_second, facts.worst_transit
        self.total_queue_cap = facts.queue_cap  # the host takes off `queue_cap` what others have in the channel
        # Seconds for which a proxy waits for its table until servers that have left are withdrawn for it.
        self.table_patience = (facts.drain_grace - facts.worst_transit) / 2
        self.message_cap = facts.message_cap
        self.message_span = facts.message_span
        self.urgent_interval = facts.message_span / facts.message_cap if facts.message_cap else facts.drain_grace / 10
        # A drain may wait for the next urgent round first.
        sending_time = facts.drain_grace - facts.worst_transit - self.urgent_interval
        self.lines_within_grace = facts.lines_per_second * max(sending_time, facts.drain_grace / 10)
        self.answer_timeout = 4 * facts.worst_transit + 8 * facts.queue_cap / facts.lines_per_second
        self.evaluation_interval = facts.report_period / 2
        self.baseline_gain = facts.report_period / 2 / BASELINE_TIME_CONSTANT_S
        self.objectives = [operation.latency_objective for operation in facts.operations]
        value = [operation.billed_value / operation.latency_objective for operation in facts.operations]
        self.low_value = [each < LOW_VALUE_RATIO * min(value) for each in value]
        self.level_form = facts.level_form
        self.unlimited_level = 1.0 if self.level_form == "share" else float(2**30)
        reported_fields = facts.load_fields if facts.load_reports_come == "inline" else ()
        self.utilisation_index = reported_fields.index("utilisation") if "utilisation" in reported_fields else None
        self.control_interval = facts.report_period * ceil(1 + facts.worst_transit / facts.report_period)
        self.standing_lines = facts.standing_lines
        self.max_part_lines = STANDING_TABLES_PER_PART * max(1, facts.standing_lines)
        # The share of the servers that each proxy may hold lines to.
        self.connectable_share = CONNECTION_SHARE * (facts.least_connections or 0.0) / max(1, facts.proxies)
        self.max_parts = facts.proxies / max(1, facts.supervisors) / MIN_PROXIES_PER_PART
        # Guards against steering all work to the fastest servers while none is busy: their latency does not react
        # until they are overloaded. Factors regress toward the listed weights; without those they do not regress.
        self.factor_decay = FACTOR_DECAY if self.weights_listed else 0.0
        zones = range(len(facts.zones))
        self.slot_of = {}  # slot of each server, by id
        self.gone_slots = {}  # slots of servers that are gone, the longest gone first
        # Servers: parallel arrays, indexed by slot.
        self.server_arrays = [[] for _ in range(19)]
        self.server_ids = self.server_arrays[0]
        self.kind = self.server_arrays[1]
        self.state = self.server_arrays[2]
        self.started = self.server_arrays[3]  # time
        self.entered = self.server_arrays[4]  # time of the first entry step
        self.withdrawn_at = self.server_arrays[5]  # time of the withdrawal for health, or None
        self.listed_weight = self.server_arrays[6]
        self.factor = self.server_arrays[7]  # learnt; multiplies the listed weight
        # Tries, succeeded tries and total time, with exponential decay from solve to solve.
        self.solve_sample = self.server_arrays[8]
        # The same since the last evaluation of strain, with the time of succeeded tries alone.
        self.strain_sample = self.server_arrays[9]
        self.utilisation = self.server_arrays[10]  # last reported share of cores in use, or None
        self.part = self.server_arrays[11]
        self.line_weight = self.server_arrays[12]  # weight of the present line, 0 without one
        self.withdrawn = self.server_arrays[13]  # whether a withdrawal is in force
        self.withdrawal_sent = self.server_arrays[14]  # time when a withdrawal was last ordered
        self.left_at = self.server_arrays[15]  # time since when the server is not ready
        self.line_sent = self.server_arrays[16]  # time when the present line was ordered
        self.held_until = self.server_arrays[17]  # time until which a cold server stays at its first entry step
        self.cold_sample = self.server_arrays[18]  # ColdSample since the last start
        # What each zone observes of each server: parallel arrays, indexed by zone and slot.
        self.zone_arrays = [[[] for _ in zones] for _ in range(5)]
        self.reports = self.zone_arrays[0]  # queues of time, tries, errored tries, latency
        self.baseline = self.zone_arrays[1]  # latency, or None
        self.complaint_since = self.zone_arrays[2]  # time, or None without a complaint
        self.complaint_renewed = self.zone_arrays[3]  # time
        self.view = self.zone_arrays[4]  # time of evaluation, latency over baseline, error share
        # The views within the window, oldest first, and the medians of their values. They are updated as views come
        # and expire, so that the cost of a report does not depend on the size of the fleet.
        self.recent_views: list[OrderedDict[int, tuple]] = [OrderedDict() for _ in zones]
        self.median_slowness = [RunningMedian() for _ in zones]
        self.median_error_share = [RunningMedian() for _ in zones]
        # Parts of the shared table.
        self.part_zone = []  # zone of the servers of each part
        # The share of all arrivals that a part of cold servers alone can bear; infinite with a warm server.
        self.bearable_share = {}
        # Parts whose further tries would all go to cold servers once their last warm server fails.
        self.single_try_parts: set[int] = set()
        self.admitted_by_part = {}  # share of what comes to a part that its servers can bear; 1 with a warm one
        self.displaced = set()  # proxies that must leave a part that cannot bear them
        self.part_sample = defaultdict(lambda: [0.0, 0.0, 0.0])  # by zone and part, as solve_sample
        self.withdrawal_times = defaultdict(deque)  # by part, recent ones
        # Proxies, by number.
        self.proxy_zone = {}
        self.demand = {}  # arrivals per second, by operation
        self.rate = {}  # arrivals per second of all operations
        self.message_times = {}  # times of recent messages
        self.joined_at = {}
        self.target_part = {}  # the part that the proxy should hold
        self.held_part = {}  # the part that the proxy holds
        # Proxies that have no table of ours, or may have rejoined unseen, and since when; the longest waiting first.
        self.waiting_since = {}
        self.unanswered = {}  # the mark that the proxy has yet to answer
        self.channel = deque()  # messages under way: mark, lines, time
        self.channel_clock = ChannelClock()
        # Lines that proxies may have been sent which only answer if they hold a withdrawn server: by mark and proxy.
        self.uncertain_lines: dict[int, dict[int, float]] = {}
        self.last_mark = 0
        self.levels_pending = False  # levels were sent and not yet answered by all
        self.awaiting_first_list = True
        self.operation_mix = [1.0 for _ in self.objectives]  # moving average of arrivals
        self.admitted_share = 1.0  # admitted share of all arrivals
        self.tries = face.ONE_AFTER_PROOF
        self.lowest_latency = float("inf")  # lowest latency of the median server, rising slowly
        self.best_unit_rate = 0.0  # most succeeded tries per second and unit of weight, decaying
        # What the fleet can answer at its best, as a share of the offered tries with their repeats. Starts at the
        # worst value, since an instance without reports cannot rule it out.
        self.answerable_share = facts.tip_multiple**-2
        self.answerable_rate = float("inf")  # arrivals per second that the fleet is known to answer at its best
        self.strain_since = now  # start of the strain sample
        self.sampled_rate = 0.0  # arrivals per second of all proxies at that time
        self.next_control = now + self.control_interval
        self.target_levels = [(self.unlimited_level, self.tries) for _ in self.objectives]
        # Levels in force, by part and operation: level and tries.
        self.current_levels: dict[tuple[int, int], tuple] = {}
        self.next_subscribe = None if facts.list_is_pushed else now
        self.next_tick = now
        self.next_rebalance = now
        self.next_solve = now + SOLVE_INTERVAL_S
        self.next_urgent = LONG_AGO
        self.last_answer_at = now  # of any proxy
        self.next_overdue_table = LONG_AGO  # time from which one more table may go out beyond the reserve

    def handle(self, now: float, events: list) -> list:
        """Applies a batch of events and returns the orders that follow, in the order in which they must go out.

        `now` never goes back from call to call. Event types without a handler are ignored.
        """
        self.now = now
        self.orders = []
        for event in events:
            getattr(self, f"_handle_{type(event).__name__.lower()}", lambda _: None)(event)
        # Repeated until answered, with a random delay so that supervisors do not ask at the same moment.
        if self.next_subscribe is not None and now >= self.next_subscribe:
            self.orders.append(face.Subscribe(True))
            self.next_subscribe = now + self.subscribe_retry_interval * self.random.uniform(2, 3)
        if self.levels_pending and not self.unanswered:
            self.levels_pending = False
            self._reset_strain_sample()  # reports from now on reflect the levels in force
        if now >= self.next_tick:
            self.next_tick = now + self.evaluation_interval
            self.orders.append(face.SetTimer(0, self.next_tick))
            self._evaluate_health()
            if now >= self.next_control:
                self._control_admission()
            if now >= self.next_solve:
                self.next_solve = now + SOLVE_INTERVAL_S
                self._solve()
        withdrawals = self._target_withdrawals()
        weights = self._target_weights(withdrawals)
        self._assign_parts(weights, withdrawals)
        self._reconcile(weights, withdrawals)
        return self.orders

    # ---- list of servers ----

    def _handle_listing(self, listing: face.Listing) -> None:
        """Applies a list or a change of it. A server that a full list leaves out is gone."""
        if listing.kind == face.FAILED:
            self.next_subscribe = self.now + self.subscribe_retry_interval * self.random.uniform(0.2, 1)
            return
        if listing.kind != face.CACHED:
            self.next_subscribe = None  # the answer to a subscription, or its changes
        if listing.kind != face.DELTA:
            present = {entry.server for entry in listing.entries}
            for i in [i for server, i in self.slot_of.items() if server not in present]:
                self._set_state(i, face.GONE)
                self.gone_slots.setdefault(i)
        if self.awaiting_first_list:
            self._create_parts([entry for entry in listing.entries if entry.state == face.READY])
        # Of each part: the number of its servers by kind, and their weight; updated with each entry.
        self.part_tally = [(defaultdict(int), [0.0]) for _ in self.part_zone]
        for i in range(len(self.server_ids)):
            self._update_tally(i, 1)
        for entry in listing.entries:
            if entry.server in self.slot_of or entry.state != face.GONE:
                self._apply_entry(entry)
        # A list without a ready server does not show the size of the fleet.
        self.awaiting_first_list &= face.READY not in self.state

    def _create_parts(self, ready: list) -> None:
        """Splits the shared table into parts.

        Guards against a table that cannot be sent to all proxies in time: lines from every proxy to every server cost
        connections, lines and messages in proportion to the product of both numbers.
        """
        line_limit = max(self.max_part_lines / STANDING_TABLES_PER_PART, self.connectable_share * len(ready))
        part_size = max(min(self.max_part_lines, line_limit), len(ready) / max(1.0, self.max_parts))
        ready_per_zone = [sum(entry.zone == zone for entry in ready) for zone in range(len(self.reports))]
        if len(ready) >= max(part_size, self.max_part_lines) * max(2, sum(map(bool, ready_per_zone))):
            self.part_zone = [z for z, n in enumerate(ready_per_zone) for _ in range(max(n > 0, int(n / part_size)))]
        else:
            self.part_zone = [ANY_ZONE]

    def _apply_entry(self, entry) -> None:
        """Applies the entry of one server; a ready server that is new or restarted begins its entry steps."""
        started = LONG_AGO if entry.started is None else entry.started
        if is_new := entry.server not in self.slot_of:
            self._allocate_slot(entry)
        i = self.slot_of[entry.server]
        self._update_tally(i, -1)
        if not self.line_weight[i] and not self.withdrawn[i]:
            self.part[i] = self._choose_part(entry)
        if entry.state == face.READY and (self.state[i] != face.READY or started > self.started[i]):
            if self._is_complained_of(i):
                self.held_until[i] = self.now + WITHDRAWAL_DURATION_S  # a restart does not mend a slow machine
            self._begin_entry(i, LONG_AGO if self.awaiting_first_list else self.now)
            if (started > self.started[i] or is_new) and not self.awaiting_first_list:
                self.factor[i] = self._starting_factor(i, entry.kind, is_new)
                self.cold_sample[i] = ColdSample()
        self._set_state(i, entry.state)
        self.started[i] = max(started, self.started[i])
        self.gone_slots.setdefault(i) if entry.state == face.GONE else self.gone_slots.pop(i, None)
        if self.weights_listed and entry.weight > 0:
            self.listed_weight[i] = entry.weight
        self._update_tally(i, 1)

    def _starting_factor(self, i: int, kind: int, is_new: bool) -> float:
        """The factor of a server that starts: that learnt for its kind, or its own where it did worse before."""
        same_kind = [k for servers in self._ready_by_part() for k in servers if self.kind[k] == kind and k != i]
        learnt = median([self.factor[k] for k in same_kind]) or 1.0
        return learnt if is_new else min(learnt, self.factor[i])

    def _is_complained_of(self, i: int) -> bool:
        """Whether a server is withdrawn for health, or a zone's complaint of it has not expired."""
        zones = zip(self.complaint_since, self.complaint_renewed, strict=True)
        unexpired = self.now - COMPLAINT_EXPIRY_S
        complained = any(since[i] is not None and renewed[i] > unexpired for since, renewed in zones)
        return complained or self.withdrawn_at[i] is not None

    def _set_state(self, i: int, state: int) -> None:
        """Sets the listed state of a server."""
        if self.state[i] == face.READY:
            self.left_at[i] = self.now
        self.state[i] = state

    def _allocate_slot(self, entry: face.Entry) -> None:
        """Allocates a slot for a new server.

        Guards against growth with each server ever listed: once the gone servers outnumber the rest, the slot of the
        longest gone is reused. Late reports are looked up by server id, so none is credited to the new server.
        """
        reuse = 2 * len(self.gone_slots) > len(self.server_ids)
        reusable = (k for k in self.gone_slots if reuse and not self.line_weight[k])
        i = next(reusable, len(self.server_ids))
        if i < len(self.server_ids):
            if self.withdrawn[i]:
                self.orders.append(face.Withdraw(False, self.server_ids[i]))
            del self.slot_of[self.server_ids[i]], self.gone_slots[i]
        self.slot_of[entry.server] = i
        initial = entry.server, entry.kind, face.GONE, LONG_AGO, LONG_AGO, None, 1.0, 1.0, [0.0] * 3, [0.0] * 3
        initial = *initial, None, 0, 0.0, False, LONG_AGO, self.now, LONG_AGO, LONG_AGO, ColdSample()
        for array, value in zip(self.server_arrays, initial, strict=True):
            array[i : i + 1] = [value]
        for zone in range(len(self.reports)):
            self._discard_view(zone, i)
            zone_initial = deque(maxlen=MAX_REPORTS_IN_VIEW), None, None, LONG_AGO, (LONG_AGO, 0.0, 0.0)
            for array, value in zip(self.zone_arrays, zone_initial, strict=True):
                array[zone][i : i + 1] = [value]

    def _update_tally(self, i: int, sign: int) -> None:
        (kinds, weight), sign = self.part_tally[self.part[i]], sign * int(self.state[i] == face.READY)
        kinds[self.kind[i]] += sign
        weight[0] += sign * self.listed_weight[i]

    def _choose_part(self, entry) -> int:
        """The part of the server's zone with the fewest servers of its kind, then with the least weight."""
        parts = [p for p, zone in enumerate(self.part_zone) if zone == entry.zone] or range(len(self.part_tally))
        return min(parts, key=lambda p: (self.part_tally[p][0][entry.kind], self.part_tally[p][1][0]))

    def _ready_by_part(self) -> list[list[int]]:
        """The slots of the ready servers of each part."""
        by_part: list[list[int]] = [[] for _ in self.part_zone]
        for i, state in enumerate(self.state):
            if state == face.READY:
                by_part[self.part[i]].append(i)
        return by_part

    def _begin_entry(self, i: int, at: float) -> None:
        """Starts the entry steps of a new, restarted or returned server and clears the complaints of it."""
        self.entered[i] = at
        self.withdrawn_at[i] = None
        for zone in range(len(self.reports)):
            self.reports[zone][i].clear()
            self.complaint_since[zone][i] = None

    # ---- proxies and their answers ----

    def _handle_joined(self, joined: face.Joined) -> None:
        """Adds a proxy; its rate is split by the present mix of operations."""
        self.waiting_since.pop(joined.proxy, None)
        self.waiting_since[joined.proxy] = self.now
        if joined.proxy in self.proxy_zone:
            # Guards against a binding that was lost with a stream that ended unseen: the proxy gets its table again.
            # Until then it counts as bound, since it may be.
            return
        self.message_times[joined.proxy] = deque()
        self.proxy_zone[joined.proxy] = joined.zone
        self.joined_at[joined.proxy] = self.now
        self.demand[joined.proxy] = [joined.rate * weight / sum(self.operation_mix) for weight in self.operation_mix]
        self.rate[joined.proxy] = sum(self.demand[joined.proxy])
        if not joined.fresh:
            self._count_handover(joined.rate)

    def _handle_left(self, left: face.Left) -> None:
        self._count_handover(-self.rate.get(left.proxy, 0.0))
        by_proxy = self.target_part, self.held_part, self.unanswered, self.waiting_since
        for mapping in (self.message_times, self.joined_at, self.proxy_zone, self.demand, self.rate, *by_proxy):
            mapping.pop(left.proxy, None)
        for lines in self.uncertain_lines.values():
            lines.pop(left.proxy, None)
        self._clear_answered()  # perhaps no proxy remains that could answer

    def _handle_applied(self, applied: face.Applied) -> None:
        """Records a proxy's answer to a mark."""
        self.last_answer_at = self.now
        self.channel_clock.answered(self.now, applied.mark, self.worst_transit)
        # Messages are delivered in order: this answer covers all messages before this mark too.
        if any(mark == applied.mark for mark, _, _ in self.channel):
            while self.channel[0][0] != applied.mark:
                self.uncertain_lines.pop(self.channel.popleft()[0], None)
            mark, lines, sent_at = self.channel[0]
            lines -= self.uncertain_lines.get(mark, {}).pop(applied.proxy, 0.0)
            self.channel[0] = mark, lines, sent_at
        if self.unanswered.get(applied.proxy) == applied.mark:
            del self.unanswered[applied.proxy]
        self._clear_answered()

    def _clear_answered(self) -> None:
        """Forgets the lines under way once no answer is due, but for those that only some proxies answer."""
        if self.unanswered:
            return
        rows = [(mark, sum(self.uncertain_lines.get(mark, {}).values()), sent_at) for mark, _, sent_at in self.channel]
        self.channel = deque(row for row in rows if row[1])
        self.uncertain_lines = {mark: self.uncertain_lines[mark] for mark, _, _ in self.channel}

    # ---- reports and complaints ----

    def _handle_heard(self, heard: face.Heard) -> None:
        """Adds a report to the samples of its server and part; an errored try counts with the latency objective."""
        i = self.slot_of.get(heard.server)
        if i is None or not heard.tries or heard.zone >= len(self.reports):
            return
        succeeded = heard.tries - min(heard.errored, heard.tries)
        success_time, error_time = (
            succeeded * (heard.latency or 0.0),
            (heard.tries - succeeded) * self._mean_objective(),
        )
        part_sample = self.part_sample[heard.zone, self.part[i]]
        for sample, duration in (
            (self.solve_sample[i], success_time + error_time),
            (part_sample, success_time + error_time),
            (self.strain_sample[i], success_time),
        ):
            sample[0] += heard.tries
            sample[1] += succeeded
            sample[2] += duration
        if self.now - self.started[i] >= OLD_REPORTS_S and not self.is_warm(i):
            self.cold_sample[i].add(heard.tries, succeeded, success_time)
        if self.utilisation_index is not None and heard.load:
            self.utilisation[i] = heard.load[self.utilisation_index]
        self.reports[heard.zone][i].append((self.now, heard.tries, heard.tries - succeeded, heard.latency))
        self._update_complaint(heard.zone, i, self.reports[heard.zone][i])

    def _update_complaint(self, zone: int, i: int, reports: deque) -> None:
        """Updates a zone's view of a server, its complaint and, without one, its baseline."""
        while reports[0][0] < self.now - VIEW_WINDOW_S:
            reports.popleft()
        tries = sum(report[1] for report in reports)
        if tries < MIN_TRIES:
            return
        error_share = sum(report[2] for report in reports) / tries
        latency = weighted_median([(report[3], report[1] - report[2]) for report in reports if report[3]])
        baseline = self.baseline[zone][i]
        slowness = latency / baseline if latency is not None and baseline else 0.0
        self._record_view(zone, i, slowness, error_share)
        if not self.is_warm(i) and self._is_unusual(zone, latency, slowness * self.warmth(i), error_share):
            self.held_until[i] = self.now + WITHDRAWAL_DURATION_S
        if self._is_unusual(zone, latency, slowness, error_share):
            expired = (
                self.complaint_since[zone][i] is None or self.complaint_renewed[zone][i] < self.now - COMPLAINT_EXPIRY_S
            )
            self.complaint_since[zone][i] = self.now if expired else self.complaint_since[zone][i]
            self.complaint_renewed[zone][i] = self.now
            return
        self.complaint_since[zone][i] = None
        if latency is not None and slowness <= SLOW_LATENCY_RATIO and error_share <= ERROR_SHARE:
            self.baseline[zone][i] = (
                latency if baseline is None else baseline + self.baseline_gain * (latency - baseline)
            )

    def _is_unusual(self, zone: int, latency: float | None, slowness: float, error_share: float) -> bool:
        """Whether a zone observes a server that is slower, or errs more, than usual and than most of its servers.

        Guards against complaints of the noisiest servers in a fleet-wide fault (overload, a slow dependency of all).
        This misses half of a fleet that fails together. In place of the design's 50 ms: the answers of a slow server
        exceed the latency objective.
        """
        is_slow = latency is not None and latency > self._mean_objective()
        is_slow = is_slow and slowness > SLOW_LATENCY_RATIO * max(1.0, self.median_slowness[zone].value())
        return is_slow or error_share > max(ERROR_SHARE, SLOW_LATENCY_RATIO * self.median_error_share[zone].value())

    def _record_view(self, zone: int, i: int, slowness: float, error_share: float) -> None:
        """Replaces a zone's view of a server and removes the views that have left the window."""
        recent = self.recent_views[zone]
        self._discard_view(zone, i)
        while recent and recent[oldest := next(iter(recent))][0] <= self.now - VIEW_WINDOW_S:
            self._discard_view(zone, oldest)
        self.median_slowness[zone].replace(None, slowness)
        self.median_error_share[zone].replace(None, error_share)
        self.view[zone][i] = recent[i] = self.now, slowness, error_share

    def _discard_view(self, zone: int, i: int) -> None:
        _, slowness, error_share = self.recent_views[zone].pop(i, (None, None, None))
        self.median_slowness[zone].replace(slowness, None)
        self.median_error_share[zone].replace(error_share, None)

    def _handle_demand(self, demand: face.Demand) -> None:
        """Updates the arrival rates of a proxy and the mix of operations, both as moving averages."""
        if demand.proxy in self.message_times and demand.window > 0 and demand.operation < len(self.operation_mix):
            rates = self.demand[demand.proxy]
            rates[demand.operation] += (demand.arrived / demand.window - rates[demand.operation]) / 2
            self.rate[demand.proxy] = sum(rates)
            self.operation_mix[demand.operation] = 0.99 * self.operation_mix[demand.operation] + 0.01 * demand.arrived

    def _mean_objective(self) -> float:
        """The latency objective in seconds, averaged over the present mix of operations."""
        return sum(
            objective * weight for objective, weight in zip(self.objectives, self.operation_mix, strict=True)
        ) / sum(self.operation_mix)

    def is_warm(self, i: int) -> bool:
        """Whether a server is ready and past its warm-up."""
        return self.state[i] == face.READY and self.now - self.started[i] >= self.warm_within

    def warmth(self, i: int) -> float:
        """The share of its usual capacity that a server certainly has by now, as of its last full entry step."""
        age = min(self.now - self.started[i], self.warm_within + ENTRY_STEP_S) // ENTRY_STEP_S * ENTRY_STEP_S
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within)

    def certain_capacity(self, i: int) -> float:
        """The share of its usual capacity that a cold server has by its age and its answers, cautiously."""
        baselines = [baseline[i] for baseline in self.baseline if baseline[i]]
        usual_latency = min([self.lowest_latency, *baselines])
        return certain_capacity(self.warmth(i), self.cold_sample[i], usual_latency)

    def recent_slowness(self, i: int) -> float:
        """The highest latency over its baseline that a zone observes of a server; 0 without a recent view."""
        recent = (view[i] for view in self.view if view[i][0] > self.now - VIEW_WINDOW_S)
        return max((slowness for _, slowness, _ in recent), default=0.0)

    # ---- health, factors and admission ----

    def _evaluate_health(self) -> None:
        """Withdraws servers and returns them to service, as in the design."""
        by_part = self._ready_by_part()
        ready = [i for servers in by_part for i in servers]
        for i in ready:
            if self.withdrawn_at[i] is not None and self.now - self.withdrawn_at[i] >= WITHDRAWAL_DURATION_S:
                self._begin_entry(i, self.now)
        complained_of = []
        for i in ready:
            if self.withdrawn_at[i] is None:
                # Only zones with a recent view of the server count: a part may be in use by a single zone.
                viewing_zones = [
                    zone for zone, view in enumerate(self.view) if view[i][0] > self.now - COMPLAINT_EXPIRY_S
                ]
                complaining = [zone for zone in viewing_zones if self._complaint_counts(zone, i)]
                if complaining and len(complaining) >= min(MIN_COMPLAINING_ZONES, len(viewing_zones)):
                    complained_of.append((min(self.complaint_since[zone][i] for zone in complaining), i))
        for _, i in sorted(complained_of):  # the longest complaint first
            # The design's caps apply to each part as they do to a small fleet.
            part_servers, recent_withdrawals = by_part[self.part[i]], self.withdrawal_times[self.part[i]]
            out_count = sum(self.withdrawn_at[k] is not None for k in part_servers)
            while recent_withdrawals and recent_withdrawals[0] <= self.now - WITHDRAWAL_BUDGET_WINDOW_S:
                recent_withdrawals.popleft()
            others = (k for k in part_servers if k != i and self.withdrawn_at[k] is None and self.is_warm(k))
            # Guards against cold servers that are left alone: one that has been let in counts once that is in force.
            warm_remains = any(self.weight_in_force(k) for k in others)
            if (
                out_count + 1 > min(MAX_WITHDRAWN, int(len(part_servers) * MAX_WITHDRAWN_SHARE))
                or len(recent_withdrawals) >= WITHDRAWAL_BUDGET
                or not warm_remains
            ):
                continue
            self.withdrawn_at[i] = self.now
            recent_withdrawals.append(self.now)
            views = [view[i] for view in self.view if view[i][0] > LONG_AGO]
            summary = "; ".join(
                f"{slowness:.1f} x usual, {error_share:.0%} erred" for _, slowness, error_share in views
            )
            self.orders.append(
                face.Log(f"withdrawn {server_label(self.server_ids[i])}, {out_count} were out: {summary}")
            )

    def _complaint_counts(self, zone: int, i: int) -> bool:
        """Whether a zone's complaint of a server is old enough and has not expired."""
        # Guards against a server that answers almost nothing and holds its requests until clients time out: its
        # complaints count earlier than those of a slow one. Not under strain, when weak servers look dead.
        dead = self.view[zone][i][2] >= DEAD_ERROR_SHARE and self.tries != face.NO_TRY
        since, expired = self.complaint_since[zone][i], self.complaint_renewed[zone][i] < self.now - COMPLAINT_EXPIRY_S
        return since is not None and not expired and self.now - since >= COMPLAINT_MIN_AGE_S * (1 / 2 if dead else 1)

    def _solve(self) -> None:
        """Moves each factor one step toward equal latency of all servers."""
        # Guards against a server that keeps or attracts work by failing fast: an errored try counts with the full
        # latency objective. It also moves work away from a weak server whose answers exceed the objective.
        samples = {i: sample for i, sample in enumerate(self.solve_sample) if sample[0] >= MIN_TRIES and sample[2] > 0}
        latency = {i: total_time / max(1.0, succeeded) for i, (_, succeeded, total_time) in samples.items()}
        for sample in [*self.solve_sample, *self.part_sample.values()]:
            sample[:] = [value * RETENTION_PER_SOLVE for value in sample]
        in_service = [i for i in latency if self.state[i] == face.READY and self.withdrawn_at[i] is None]
        median_latency = median([latency[i] for i in in_service])
        for i in in_service:
            step = min(1 + MAX_SOLVE_STEP, max(1 - MAX_SOLVE_STEP, (median_latency / latency[i]) ** SOLVE_EXPONENT))
            self.factor[i] = min(MAX_FACTOR, max(MIN_FACTOR, self.factor[i] ** (1 - self.factor_decay) * step))

    def _control_admission(self) -> None:
        """Evaluates strain and sets the tries and the admitted share.

        Guards against a fleet with more demand than capacity, or one that is overloaded by its own repeats. The
        latency of succeeded tries at the median server decides, so that single sick servers, and tries that fail at
        once, change nothing. Harm: it also cuts for a slow dependency of all servers that would recover by itself.
        """
        latency = weighted_median(
            [(total_time / succeeded, succeeded) for _, succeeded, total_time in self.strain_sample if succeeded]
        )
        tries, succeeded = (
            sum(sample[0] for sample in self.strain_sample),
            sum(sample[1] for sample in self.strain_sample),
        )
        # Guards against cut levels due to proxies that have just joined and whose tries no report includes yet.
        known_rates = [
            rate for proxy, rate in self.rate.items() if self.joined_at[proxy] <= self.strain_since - VIEW_WINDOW_S
        ]
        elapsed, arrival_rate = self.now - self.strain_since, max(1.0, sum(known_rates))
        sampled_rate = self.sampled_rate
        self._reset_strain_sample()
        if not tries:
            return  # no reports: neither strain nor recovery
        objective = self._mean_objective()
        latency = objective if latency is None else latency
        # Work that takes long without queueing is no strain: the lowest latency of the fleet raises the threshold.
        pressure = latency / min(
            2 * STRAIN_THRESHOLD * objective,
            max(STRAIN_THRESHOLD * objective, ELEVATED_LATENCY_RATIO * self.lowest_latency),
        )
        utilisation, recovery = median([share for share in self.utilisation if share is not None]), RECOVERY_THRESHOLD
        if pressure <= 1:
            self.lowest_latency = min(latency, self.lowest_latency / DECAY_PER_EVALUATION)
        # High latency of servers with idle cores is not for lack of servers.
        if utilisation is not None:
            pressure, recovery = min(pressure, utilisation / BUSY_UTILISATION), 1.0
        # The best observed rate per unit of weight gives what a cold server can bear, also in an overload.
        full_weight = self.full_weight()
        self.best_unit_rate = max(
            self.best_unit_rate * DECAY_PER_EVALUATION, succeeded / elapsed / (full_weight or 1.0)
        )
        self.answerable_share = min(1.0, self.best_unit_rate * full_weight * elapsed / (2 * tries - succeeded))
        self._update_answerable_rate(sampled_rate)
        if self.levels_pending:
            return
        if pressure > 1:
            # Cutting tries does not help where hardly any are made beyond the first.
            retries_to_cut = self.tries != face.NO_TRY and tries / elapsed > (1 + RETRY_ALLOWANCE) * arrival_rate
            self.tries = face.NO_TRY
            if not retries_to_cut and self.level_form != "off":
                # What a strained fleet answers is its capacity: admit a little less, in few large steps. The arrival
                # rate is from reports of other moments, so a slight strain is measured by this sample alone.
                by_sample = self.admitted_share * succeeded / tries / pressure**2
                sustainable = ADMITTED_PER_ANSWERED * max(succeeded / elapsed / arrival_rate, by_sample)
                self.admitted_share = min(
                    self.admitted_share,
                    max(self.admitted_share * ADMISSION_CUT_FACTOR, sustainable, MIN_ADMITTED_SHARE),
                )
        elif pressure < recovery and self.admitted_share < 1:
            self.admitted_share = min(
                1.0, self.admitted_share * recovery / max(pressure, recovery / ADMISSION_RISE_FACTOR)
            )
        elif pressure < recovery:
            self.tries = face.ONE_AFTER_PROOF
        # Only here: levels that followed every swing of demand would always be pending and never be evaluated.
        self.target_levels = self._target_levels()

    def full_weight(self) -> float:
        """The weight of all ready servers, without slow start."""
        return sum(self.listed_weight[i] * self.factor[i] for servers in self._ready_by_part() for i in servers)

    def _update_answerable_rate(self, sampled_rate: float) -> None:
        """Updates the arrivals per second that can be answered; `sampled_rate`: those as the sample began.

        Guards against cold servers that get their share of a crowd or a burst before any report shows who answers it.
        """
        if not sampled_rate:
            return
        proven_rate = self.answerable_share * sampled_rate
        if self.answerable_share == 1 and self.answerable_rate < float("inf"):
            proven_rate = max(proven_rate, self.answerable_rate * DECAY_PER_EVALUATION)
        self.answerable_rate = proven_rate

    def _count_handover(self, rate: float) -> None:
        """Counts arrivals per second that come from another supervisor, or go to one: servers answer them as before."""
        self.sampled_rate = max(0.0, self.sampled_rate + rate)
        self.answerable_rate = max(0.0, self.answerable_rate + self.answerable_share * rate)

    def _reset_strain_sample(self) -> None:
        """Starts a new strain sample and puts the next evaluation of strain one interval from now."""
        self.strain_sample[:] = [[0.0, 0.0, 0.0] for _ in self.server_ids]
        self.strain_since = self.now
        self.sampled_rate = sum(self.rate.values())
        self.next_control = self.now + self.control_interval

    def _target_levels(self) -> list[tuple[float, int]]:
        """The level and tries of each operation that give the admitted share; low-value operations are cut first."""
        rates = [sorted(rates[k] for rates in self.demand.values()) for k in range(len(self.low_value))]
        total = sum(map(sum, rates))
        low_value_rate = sum(sum(rates[k]) for k, is_low in enumerate(self.low_value) if is_low) or 1.0
        low_value_share = max(MIN_ADMITTED_SHARE, 1 - (1 - self.admitted_share) * total / low_value_rate)
        high_value_share = max(
            MIN_ADMITTED_SHARE,
            (self.admitted_share * total - low_value_share * low_value_rate) / (total - low_value_rate or 1.0),
        )
        levels = []
        for k, share in enumerate(low_value_share if is_low else high_value_share for is_low in self.low_value):
            level = share if self.level_form == "share" else fair_rate(rates[k], share)
            levels.append((level if self.admitted_share < 1 and share < 1 else self.unlimited_level, self.tries))
        return levels

    # ---- target state ----

    def _target_weights(self, withdrawals: list[bool]) -> list[float]:
        """The weight that the line of each server should have now; 0 for no line. Also sets `bearable_share`."""
        weights = [0.0] * len(self.server_ids)
        by_part = self._ready_by_part()
        ready = [i for servers in by_part for i in servers]
        entry_weight = sum(self.listed_weight[i] for i in ready) / max(1, len(ready)) * ENTRY_WEIGHT_SHARE
        full_weight, part_rate = self.full_weight(), [0.0] * len(by_part)
        total_rate = sum(self.rate[proxy] for proxy in self.target_part)
        # Guards against cold servers that get the work of proxies which should leave their part and still hold it.
        for proxy, part in self.target_part.items():
            for each in {part, self.held_part.get(proxy, part)}:
                part_rate[each] += self.rate[proxy]
        answerable_share = min(self.answerable_share, self.answerable_rate / (total_rate or 1.0))
        for part, servers in enumerate(by_part):
            steps = {i: self._entry_step(i) for i in servers}
            settled_weight = sum(
                self.listed_weight[i] for i in servers if steps[i] >= ENTRY_STEPS and self.withdrawn_at[i] is None
            )
            entering = settled_weight < sum(self.listed_weight[i] for i in servers) / 2
            for i in servers:
                weights[i] = self.listed_weight[i] * self.factor[i]
                # Entry steps assume that other servers carry the rest. While most of the part is still entering they
                # would overload the few that are in service, so then only the limit of a cold server applies.
                if not entering or self.now < self.held_until[i]:
                    weights[i] = min(weights[i], entry_weight * 2 ** steps[i])
            # Guards against queues at a server that is half warm: no more weight than it can certainly serve by now.
            cold_limit, self.bearable_share[part] = {}, 0.0
            for i in servers:
                warmth = self.warmth(i)
                if warmth < 1:
                    weights[i] = min(weights[i], self.listed_weight[i] * warmth)
                    bearable = (
                        self.certain_capacity(i)
                        * self.slow_start_limit
                        * answerable_share
                        * self.listed_weight[i]
                        * self.factor[i]
                        / full_weight
                    )
                    self.bearable_share[part] += bearable
                    share = bearable * (total_rate / part_rate[part] if part_rate[part] else len(part_rate))
                    # Guards against a cold server that alone answers. Of two candidates a proxy picks the one with
                    # fewer open requests, so among servers that do not answer it gets the requests of both draws.
                    cold_limit[i] = 1 - max(0.0, 1 - share) ** 0.5 if self.picks_of_two else share
            # Guards against overloading a cold server: whatever the demand, its share of all tries stays within what
            # it can bear, while warm servers do not fail. Harm: in a deep overload it is underused.
            warm = [i for i in servers if i not in cold_limit and not withdrawals[i]]
            warm_weight = sum(weights[i] for i in warm)
            # Guards against cold servers that are measured against warm ones whose weight proxies do not have yet.
            in_force = {i: min(weights[i], self.weight_in_force(i)) for i in warm}
            warm_count = sum(in_force[i] >= weights[i] * REMAINING_WEIGHT_THRESHOLD for i in warm)
            (self.single_try_parts.add if cold_limit and warm_count <= 1 else self.single_try_parts.discard)(part)
            # Guards against cold servers that are left alone until the proxies of their part have moved.
            borne_rate = self.bearable_share[part] * total_rate
            is_over = not warm_weight and borne_rate < part_rate[part]
            self.admitted_by_part[part] = borne_rate / part_rate[part] if is_over else 1.0
            self.bearable_share[part] = float("inf") if warm_weight else self.bearable_share[part]
            if warm_weight and sum(cold_limit.values()) < 1:
                for i, share in cold_limit.items():
                    warm_in_force = sum(in_force.values()) or warm_weight
                    weights[i] = min(weights[i], share * warm_in_force / (1 - sum(cold_limit.values())))
        return weights

    def _entry_step(self, i: int) -> float:
        """The entry step of a server, from 0."""
        begun_at = max(self.entered[i], self.held_until[i])
        return max(0.0, min(99.0, (self.now - begun_at) // ENTRY_STEP_S))

    def weight_in_force(self, i: int) -> float:
        """The weight with which proxies may pick a server by the orders sent so far."""
        return 0.0 if self.withdrawn[i] else self.line_weight[i]

    def line_precedes_start(self, i: int) -> bool:
        """Whether the present line of a server was ordered before its last entry steps began."""
        return self.line_weight[i] > 0 and self.line_sent[i] < self.entered[i]

    def _target_withdrawals(self) -> list[bool]:
        """Whether each server should be withdrawn now."""
        withdrawn = [at is not None and self.state[i] == face.READY for i, at in enumerate(self.withdrawn_at)]
        # Guards against a part without a usable server: without another warm one, no server is withdrawn for health.
        parts_with_warm = {self.part[i] for i in range(len(withdrawn)) if self.is_warm(i) and not withdrawn[i]}
        # What has left stays withdrawn as long as a proxy may hold it by a table of another supervisor.
        keep = bool(self.waiting_since or self.unanswered)
        return [
            (is_withdrawn and self.part[i] in parts_with_warm)
            or (
                keep
                and self.state[i] != face.READY
                and self.withdrawn[i]
                and self.withdrawal_sent[i] >= self.left_at[i]
            )
            for i, is_withdrawn in enumerate(withdrawn)
        ]

    def _assign_parts(self, weights: list[float], withdrawn: list[bool]) -> None:
        """Decides which part each proxy should hold. Guards against overloaded parts and parts without a server."""
        part_weight = self.part_weight = [0.0] * len(self.part_zone)
        for i, weight in enumerate(weights):
            part_weight[self.part[i]] += 0.0 if withdrawn[i] else weight
        unplaced = {p for p in self.proxy_zone if p not in self.target_part or not part_weight[self.target_part[p]]}
        bearable = self._displace_from_cold_parts(unplaced)
        rebalance = self.now >= self.next_rebalance and not self.unanswered and len(part_weight) > 1
        if not any(part_weight) or not (unplaced or self.displaced or rebalance):
            return
        self.next_rebalance = self.now + self.evaluation_interval if rebalance else self.next_rebalance
        non_empty = [part for part, weight in enumerate(part_weight) if weight]
        target = self._target_shares(part_weight, self.rate)
        for zone in sorted(set(self.proxy_zone.values())):
            proxies = [proxy for proxy, proxy_zone in self.proxy_zone.items() if proxy_zone == zone]
            load = ZoneLoad(target[zone])
            for proxy in set(proxies) - unplaced:
                load.add(self.target_part[proxy], self.rate[proxy])
            for proxy in sorted(proxies, key=lambda proxy: (-self.rate[proxy], proxy)):
                rate = self.rate[proxy]
                source = None if proxy in unplaced else self.target_part[proxy]
                if source is None or proxy in self.displaced:
                    destination = self._choose_destination(rate, source, load, non_empty, bearable)
                else:
                    destination = self._choose_exchange(rate, source, load, non_empty, bearable) if rebalance else None
                if destination is None:
                    continue
                if source is not None:
                    load.add(source, -rate)
                load.add(destination, rate)
                bearable[destination] -= rate
                self.target_part[proxy] = destination

    def _displace_from_cold_parts(self, unplaced: set[int]) -> list[float]:
        """Finds the proxies beyond what parts of cold servers alone can bear, which must leave at once.

        Returns the arrivals per second that each part can still bear beside the proxies that stay, infinite with a warm
        server. Guards against overloading cold servers, also by one proxy that brings more than their part lacks.
        """
        rate, total_rate = self.rate, sum(self.rate.values())
        shares = [self.bearable_share.get(part, float("inf")) for part in range(len(self.part_zone))]
        bearable = [share if share == float("inf") else share * total_rate for share in shares]
        self.displaced = set()
        in_cold_parts = (p for p, part in self.target_part.items() if shares[part] < float("inf") and p not in unplaced)
        for proxy in sorted(in_cold_parts, key=lambda p: (rate[p], p)):
            part = self.target_part[proxy]
            if rate[proxy] > bearable[part]:
                self.displaced.add(proxy)
            else:
                bearable[part] -= rate[proxy]
        return bearable

    def _choose_destination(
        self, rate: float, source: int | None, load: ZoneLoad, non_empty: list[int], bearable: list[float]
    ) -> int | None:
        """The part for a proxy without one, or for one that must leave `source`; None if it stays there."""
        with_room = [part for part in non_empty if rate <= bearable[part]]
        destination = min(with_room or non_empty, key=load.relative_excess)
        # Guards against proxies that go to and fro between parts none of which can bear them.
        if source is not None and not with_room and not load.relieves(rate, source, destination):
            return None
        return destination

    def _choose_exchange(
        self, rate: float, source: int, load: ZoneLoad, non_empty: list[int], bearable: list[float]
    ) -> int | None:
        """The part that a proxy should go to from one that is over its target; None if it stays there."""
        if rate > load.excess[source] or load.excess[source] <= IMBALANCE_TOLERANCE * load.target[source]:
            return None
        destination = min(non_empty, key=lambda part: load.excess[part])
        # Guards against a part that keeps the busiest proxies because no other lacks as much as one of them brings.
        if load.excess[destination] + rate > 0 and not load.relieves(rate, source, destination):
            return None
        return destination if rate <= bearable[destination] else None

    def _part_quality(self, zone: int) -> list[float]:
        """How well each part answers a zone, up to 1; a part with few reports moves toward 1.

        Guards against a part that a zone reaches badly: a building lost before the list shows it, a faulty network
        path, a fault of the proxies' own zone.
        """
        rows = [self.part_sample[zone, part] for part in range(len(self.part_zone))]
        best = min((total_time / succeeded for _, succeeded, total_time in rows if succeeded >= MIN_TRIES), default=0.0)
        if not best:
            return [1.0 for _ in rows]
        costs = [(total_time + MIN_TRIES * best) / (succeeded + MIN_TRIES) for _, succeeded, total_time in rows]
        return [min(1.0, ELEVATED_LATENCY_RATIO * best / cost) ** 2 for cost in costs]

    def _target_shares(self, weight: list[float], rate: dict[int, float]) -> list[list[float]]:
        """The arrivals per second that the proxies of each zone should bring to each part, by zone and part.

        In total they are proportional to the weight of the parts, with parts of the own zone preferred. A zone without
        a proxy of this supervisor is assumed to bring the usual rate per weight to its own servers.
        """
        zones = range(len(self.reports))
        arrivals = [sum(each for proxy, each in rate.items() if self.proxy_zone[proxy] == zone) for zone in zones]
        zone_weight = [
            sum(w for w, part_zone in zip(weight, self.part_zone, strict=True) if part_zone == zone) for zone in zones
        ]
        rate_per_weight = sum(arrivals) / (
            sum(weight_here for weight_here, arrivals_here in zip(zone_weight, arrivals, strict=True) if arrivals_here)
            or 1.0
        )
        arrivals = [each or rate_per_weight * zone_weight[zone] for zone, each in enumerate(arrivals)]
        preference = [
            [OWN_ZONE_PREFERENCE if part_zone == zone else 1.0 for part_zone in self.part_zone] for zone in zones
        ]
        factors = [zip(weight, preference[zone], self._part_quality(zone), strict=True) for zone in zones]
        attraction = [[w * near * quality for w, near, quality in row] for row in factors]
        for _ in range(BALANCING_ROUNDS):
            target = [[arrivals[zone] * each / sum(row) for each in row] for zone, row in enumerate(attraction)]
            part_total = [sum(column) or 1.0 for column in zip(*target, strict=True)]
            correction = [
                w / sum(weight) * sum(part_total) / total for w, total in zip(weight, part_total, strict=True)
            ]
            attraction = [[each * factor for each, factor in zip(row, correction, strict=True)] for row in attraction]
        return [
            [min(each, arrivals[zone] * self.bearable_share[p]) for p, each in enumerate(target[zone])]
            for zone in zones
        ]

    # ---- orders ----

    def _reconcile(self, weights: list[float], withdrawals: list[bool]) -> None:
        """Appends the orders that lead from the present state to the target state, as far as the caps allow."""
        self._give_up_lost_answers()
        removals, due_cuts, cuts, ordinary = self._line_changes(weights, withdrawals)
        short_parts = self._restore_short_parts(removals, due_cuts, cuts, ordinary, weights, withdrawals)
        for part, order, is_urgent in self._level_changes():
            # Guards against cold servers that are left alone before the level of their part is cut.
            due_cuts.append((LONG_AGO, part, order)) if is_urgent else ordinary.append((-1.0, part, order))
        holders: dict[int, list[int]] = defaultdict(list)
        for proxy in self.proxy_zone:
            holders[self.held_part.get(proxy)].append(proxy)  # None: those that hold tables of other supervisors
        selected, messages, round_answered = [], {}, not self.unanswered
        may_be_urgent = self.now >= self.next_urgent
        urgent_lines = self._beside_drains(self.lines_within_grace)
        for rows, may_go, max_lines in (
            (removals, may_be_urgent, float("inf")),
            (due_cuts, True, float("inf")),
            (cuts, may_be_urgent, urgent_lines),
        ):
            if may_go and self._select_orders(rows, holders, messages, max_lines, 1.0, selected):
                self.next_urgent = self.now + self.urgent_interval
        ordinary_lines = min(self.round_lines, urgent_lines)
        rows = [row for row in ordinary if round_answered or row[1] not in holders or row[1] in short_parts]
        self._select_orders(rows, holders, messages, ordinary_lines, ORDINARY_SHARE, selected)
        self._assign_tables(messages, ordinary_lines, round_answered, selected)
        certain = set(messages)
        if self.waiting_since:
            self._withdraw_for_waiting(holders, messages, selected)
        if messages:
            self.last_mark = self.last_mark % MAX_MARK + 1
            selected.append(face.Mark(False, self.last_mark))
            self.levels_pending |= any(isinstance(order, face.SetLevel) for order in selected)
            lines = sum(messages.values())
            self.channel.append((self.last_mark, lines, self.now))
            self.channel_clock.add(self.now, self.last_mark, lines / self.lines_per_second)
            uncertain = {proxy: lines for proxy, lines in messages.items() if proxy not in certain}
            if uncertain:
                self.uncertain_lines[self.last_mark] = uncertain
            for proxy in messages:
                self.message_times[proxy].append(self.now)
            self.unanswered |= dict.fromkeys(certain, self.last_mark)
        self.orders += selected

    def _beside_drains(self, lines: float) -> float:
        """Of the lines that may be under way, those that other orders than drains may take.

        Guards against drains that come late since other lines are ahead of them: one may concern every proxy."""
        leaving = max(1.0, DRAINED_SHARE * sum(map(bool, self.line_weight)) / max(1, len(self.part_zone)))
        drain_lines = len(self.proxy_zone) * (leaving + self.message_overhead)
        return max(lines * ORDINARY_SHARE, lines - drain_lines)

    def _give_up_lost_answers(self) -> None:
        """Guards against a lost answer that blocks all later rounds."""
        while self.channel and self.now - self.channel[0][2] > self.answer_timeout:
            self.uncertain_lines.pop(self.channel.popleft()[0], None)
            pending_marks = {mark for mark, _, _ in self.channel}
            self.unanswered = {p: mark for p, mark in self.unanswered.items() if mark in pending_marks}

    def _line_changes(self, weights: list[float], withdrawals: list[bool]) -> tuple[list, list, list, list]:
        """The changes of lines and withdrawals as `_select_orders` takes them: urgent removals, the longest gone server
        first; urgent cuts of servers that have restarted since their line was ordered, and of other cold servers;
        ordinary changes, the largest first."""
        removals, due_cuts, cuts, ordinary = [], [], [], []
        for i, weight in enumerate(weights):
            part, present = self.part[i], self.line_weight[i]
            order = (part, face.SetLine(self.server_ids[i], weight, part))
            restarted = self.entered[i] == self.now or self.now - self.started[i] < self.warm_within
            if present and not weight:
                removals.append((self.left_at[i], *order))
            elif present and restarted and weight < present * self._urgent_cut_ratio(i):
                # Guards against other orders that reach the holders of a restarted server before its cut.
                (due_cuts if self.line_precedes_start(i) else cuts).append((weight, *order))
            elif weight and (not present or abs(weight - present) >= MIN_RELATIVE_CHANGE * present):
                ordinary.append((-abs(weight - present) / (weight + present), *order))
            if withdrawals[i] != self.withdrawn[i]:
                # Servers that are let in go before the withdrawal of others that they stand in for.
                key = -1.0 if withdrawals[i] else -2.0
                ordinary.append((key, part if present else NO_PART, face.Withdraw(withdrawals[i], self.server_ids[i])))
        return removals, due_cuts, cuts, ordinary

    def _urgent_cut_ratio(self, i: int) -> float:
        """Of the present weight of a cold server: the weight below which its cut is urgent.

        Guards against cuts that hold up drains: what was ordered for a cold server has room below what makes it fall
        over."""
        return 1 - MAX_SOLVE_STEP if self.line_precedes_start(i) else URGENT_CUT_RATIO

    def _level_changes(self) -> list[tuple[int, face.SetLevel, bool]]:
        """The parts whose levels should change, the order, and whether it is urgent: a cut since hardly any but cold
        servers are left, which cannot bear the part or its further tries. A part never gets less than the smallest
        admitted share."""
        changes = []
        for k, (fleet_level, fleet_tries) in enumerate(self.target_levels):
            for part in range(len(self.part_zone)):
                tries = face.NO_TRY if part in self.single_try_parts else fleet_tries
                share = max(MIN_ADMITTED_SHARE, self.admitted_by_part.get(part, 1.0))
                level = (
                    fleet_level if share == 1 or self.level_form == "off" else self._part_level(k, fleet_level, share)
                )
                present, present_tries = self.current_levels.get((part, k), (0.0, None))
                if present_tries != tries or abs(level - present) >= MIN_RELATIVE_CHANGE * present:
                    is_cut = (share < 1 and level < present) or (tries != fleet_tries and tries != present_tries)
                    is_urgent = is_cut and present_tries is not None
                    changes.append((part, face.SetLevel(part, level, 1 << k, tries), is_urgent))
        return changes

    def _part_level(self, operation: int, fleet_level: float, share: float) -> float:
        """The level of one operation that admits this share of what comes to a part."""
        if self.level_form == "share":
            return min(fleet_level, share)
        rates = sorted(rates[operation] for rates in self.demand.values())
        return min(fleet_level, fair_rate(rates, share))

    def _restore_short_parts(
        self, removals: list, at_once: list, cuts: list, ordinary: list, weights: list, withdrawals: list[bool]
    ) -> set[int]:
        """Moves ordinary rows of warm servers to the urgent ones where little of a part is in force, the largest gain
        of weight first, until enough of it is; to those that go at once where no warm server is; where nothing else
        would be in force, those of all servers. Returns these parts.

        Guards against a moment without a server, and against cold servers that inherit the share of warm ones that
        leave or are withdrawn. The other rows of these parts need not wait for answers, but only go out within the
        ordinary lines: together they would delay the removals.
        """
        in_force, with_warm = [0.0] * len(self.part_zone), set()
        for i, part in enumerate(self.part):
            in_force[part] += (present := 0.0 if withdrawals[i] else min(weights[i], self.weight_in_force(i)))
            if present and self.is_warm(i):
                with_warm.add(part)
        needed = [weight * REMAINING_WEIGHT_THRESHOLD for weight in self.part_weight]
        held = set(self.held_part.values())
        short = {part for part in held if in_force[part] <= needed[part]}
        lacking = short | (held - with_warm)
        gains = [(self._gain(row[2], weights), row) for row in ordinary if row[1] in lacking]
        gains = sorted((each for each in gains if each[0] > 0), key=lambda each: -each[0])
        warm_gains = [(gain, row) for gain, row in gains if self.is_warm(self.slot_of[row[2].server])]
        empty = {part for part in short if not in_force[part]} - {row[1] for _, row in warm_gains}
        for gain, row in warm_gains:
            _, part, order = row
            if in_force[part] <= needed[part] or part not in with_warm:
                ordinary.remove(row)
                (cuts if part in with_warm else at_once).append((LONG_AGO, part, order))
                in_force[part] += gain
                with_warm.add(part)
        # All cold servers of a part together: one of them alone would get the share of all.
        for _, row in gains:
            if row[1] in empty:
                ordinary.remove(row)
                removals.append((LONG_AGO, *row[1:]))
        return short

    def _gain(self, order: face.SetLine | face.Withdraw, weights: list[float]) -> float:
        """The weight that an order brings into force."""
        i = self.slot_of[order.server]
        if isinstance(order, face.Withdraw):
            return 0.0 if order.on else min(weights[i], self.line_weight[i])
        return 0.0 if self.withdrawn[i] else order.weight - self.line_weight[i]

    def _assign_tables(self, messages: dict, ordinary_lines: float, round_answered: bool, selected: list) -> None:
        """Selects the tables of the proxies that should hold another part, the longest waiting proxy first."""
        table_lines = self._table_lines()
        waiting_lines, backlog = self.waiting_lines() + sum(messages.values()), self.backlog_lines(messages)
        urgent_lines = self._beside_drains(self.lines_within_grace)
        overdue_proxy = self._choose_overdue_proxy()
        for proxy in sorted(self.target_part, key=lambda proxy: self.waiting_since.get(proxy, self.now)):
            part = self.target_part[proxy]
            held = None if proxy in self.waiting_since else self.held_part[proxy]
            # Any other change of part is mandatory, as is one that leaves a part of cold servers alone.
            is_move = held is not None and self.part_weight[held] and proxy not in self.displaced
            is_move = is_move and self.bearable_share[held] == float("inf")
            if held == part or (is_move and not round_answered):
                continue
            size = table_lines[part]
            share = ORDINARY_SHARE if is_move else 1.0
            is_without_server = held is not None and not self.part_weight[held]
            limit = self.queue_cap * (1.0 if is_without_server else ORDINARY_SHARE)
            max_backlog = ordinary_lines if is_move else urgent_lines
            # Guards against a channel that seems full of messages to proxies that have fallen silent: it is in order,
            # so the answer to one table shows that all before it have left.
            if proxy == overdue_proxy:
                limit = self.queue_cap
            is_first = not backlog  # of an empty channel, one goes out however long it is
            fits = waiting_lines + size <= (limit if waiting_lines else self.queue_cap)
            if not fits or not self._may_message(proxy, share):
                continue
            if backlog + size > max_backlog and not is_first:
                continue
            if proxy == overdue_proxy:
                self.next_overdue_table = self.now + self.table_patience
            selected.append(face.UseTable(0, part, proxy))
            self.held_part[proxy] = part
            self.waiting_since.pop(proxy, None)
            messages[proxy] = messages.get(proxy, 0) + size
            waiting_lines += size
            backlog += size

    def _table_lines(self) -> list[int]:
        """The lines of a message that assigns a part to a proxy, by part."""
        lines = [1 + len(self.objectives) + self.message_overhead for _ in self.part_zone]
        for part, line, withdrawn in zip(self.part, self.line_weight, self.withdrawn, strict=True):
            lines[part] += bool(line) * (1 + withdrawn)
        return lines

    def _tables_come_first(self, withdrawal_lines: float, messages: dict) -> bool:
        """Whether the tables of the proxies that wait for them are in time, and cost no more than withdrawals for them,
        which only put the tables off."""
        lines_by_part = self._table_lines()
        table_lines = sum(lines_by_part[self.target_part.get(proxy, 0)] for proxy in self.waiting_since)
        sent_at = self.now + (self.backlog_lines(messages) + table_lines) / self.lines_per_second
        due_at = next(iter(self.waiting_since.values())) + self.drain_grace - self.worst_transit
        return table_lines <= withdrawal_lines and sent_at <= due_at

    def _choose_overdue_proxy(self) -> int | None:
        """The proxy that may get its table beyond the reserve now, if any.

        Only while no proxy answers: else tables go out as others arrive. Of those that have waited so long that they
        could not let go of a drain in time, it is the last that joined, since the others are more likely to be silent.
        """
        if self.now < max(self.next_overdue_table, self.last_answer_at + self.table_patience):
            return None
        overdue = [proxy for proxy, since in self.waiting_since.items() if self.now - since >= self.table_patience]
        return overdue[-1] if overdue else None

    def _withdraw_for_waiting(self, holders: dict, messages: dict, selected: list) -> None:
        """Selects withdrawals of the servers that have left where proxies wait for their table.

        Guards against proxies with tables of other supervisors that go on sending to servers that drain, since whole
        tables for a flood of joins take the channel longer than the grace.
        """
        since = list(self.waiting_since.values())
        gone = (i for i, state in enumerate(self.state) if state != face.READY)
        untold = [i for i in gone if self.withdrawal_sent[i] < since[-1]]  # to the last one that waits, at least
        oldest = {i: since[bisect_right(since, self.withdrawal_sent[i])] for i in untold}
        if not any(self.now - max(oldest[i], self.left_at[i]) >= self.table_patience for i in untold):
            removed = {order.server for order in selected if isinstance(order, face.SetLine) and not order.weight}
            untold = [i for i in untold if self.server_ids[i] in removed]  # shares the messages of their removal
        # A table of another supervisor is assumed to hold as many of them as the part of ours that lost most of late.
        lately = self.now - 2 * self.drain_grace
        lines = Counter(self.part[i] for i in untold if self.left_at[i] >= lately)
        costs = dict.fromkeys([*self.waiting_since, *holders.get(None, [])], max(lines.values(), default=1))
        for part in lines:
            # Those that have not applied the removal yet are written to as well.
            costs |= {p: lines[part] for p in holders.get(part, []) if p in messages or p in self.unanswered}
        unwritten = [proxy for proxy in costs if proxy not in messages]
        used = self.waiting_lines() + sum(messages.values())
        cost = sum(costs.values()) + len(unwritten) * self.message_overhead
        if not untold or used + cost > self.queue_cap or self._tables_come_first(cost, messages):
            return
        if not all(self._may_message(proxy, 1.0) for proxy in unwritten):
            return
        for proxy, cost in costs.items():
            messages[proxy] = messages.get(proxy, self.message_overhead) + cost
        for i in untold:
            self.withdrawn[i], self.withdrawal_sent[i] = True, self.now
            selected.append(face.Withdraw(True, self.server_ids[i]))

    def _select_orders(
        self, rows: list, holders: dict, messages: dict, max_lines: float, cap_share: float, selected: list
    ) -> bool:
        """Selects the orders that fit, the part with the lowest key first, and records them as the present state.

        `rows` are sort key, part and order; `holders` are the proxies of each part. `messages`, the lines of each
        proxy's message, and `selected` are extended. They fit within `cap_share` of the caps, and within `max_lines`
        together with those that the channel has yet to send. Returns whether any order was selected.
        """
        waiting, used, sent, may_write = self.waiting_lines(), sum(messages.values()), False, {}
        backlog, first_part = self.backlog_lines({}), None
        first_key: dict[int, float] = {}
        for key, part, _ in rows:
            first_key[part] = min(key, first_key.get(part, key))
        # The rows of a part go together, so that their proxies get one message instead of several.
        for _, part, order in sorted(rows, key=lambda row: (first_key[row[1]], row[1], row[0])):
            proxies = holders.get(part, []) + holders.get(None, []) * isinstance(order, face.Withdraw)
            if part not in may_write:
                may_write[part] = all(proxy in messages or self._may_message(proxy, cap_share) for proxy in proxies)
            cost = sum(1 if proxy in messages else 1 + self.message_overhead for proxy in proxies)
            # The orders of one part may exceed `max_lines` where nothing is ahead of them.
            is_first = not backlog and (not used or part == first_part)
            over_cap = waiting + used + cost > self.queue_cap * cap_share
            over_cap |= backlog + used + cost > max_lines and not is_first
            if cost and (over_cap or not may_write[part]):
                continue
            first_part = part if not used else first_part
            for proxy in proxies:
                messages[proxy] = messages.get(proxy, self.message_overhead) + 1
            used, sent = used + cost, True
            selected.append(order)
            if isinstance(order, face.SetLine):
                self.line_weight[self.slot_of[order.server]] = order.weight
                self.line_sent[self.slot_of[order.server]] = self.now
            elif isinstance(order, face.Withdraw):
                self.withdrawn[self.slot_of[order.server]] = order.on
                self.withdrawal_sent[self.slot_of[order.server]] = self.now if order.on else LONG_AGO
            else:
                self.current_levels[part, order.operations.bit_length() - 1] = (order.level, order.tries)
        return sent

    def _may_message(self, proxy: int, share: float) -> bool:
        """Whether a proxy may be sent a message within this share of the message cap."""
        return not self.message_cap or self.messages_sent(proxy) < self.message_cap * share - 1

    def messages_sent(self, proxy: int) -> int:
        """Messages to a proxy within the span of the message cap."""
        sent = self.message_times[proxy]
        while sent and sent[0] <= self.now - self.message_span:
            sent.popleft()
        return len(sent)

    def waiting_lines(self) -> float:
        """Lines of the messages under way in the channel."""
        return sum(lines for _, lines, _ in self.channel)

    def backlog_lines(self, messages: dict[int, float]) -> float:
        """Lines that the channel has yet to send by now, with those of further messages, by proxy."""
        of_others = self.total_queue_cap - self.queue_cap
        backlog = self.channel_clock.delay(self.now) * self.lines_per_second
        return backlog + max(0.0, of_others) + sum(messages.values())
