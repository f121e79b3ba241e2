"""The decisions of one supervisor.

    brain = Brain(facts, seed, now)     # facts: interface.StartFacts
    orders = brain.handle(now, events)  # the same events always bring the same orders

The types of facts, events and orders are in `driftshed/interface.py`. The design (docs/design.md) decides the
ordinary table: zones complain, lasting complaints of enough zones withdraw a server under caps, it returns in
steps, and ONE shared table's weights are steered by latency. Mechanisms beside the design, six at most:

 1. Following the list: a draining or gone server loses its line at once, outside the caps.
 2. Cold servers: no more weight than they are sure to bear by now, and no more of all tries.
 3. Never bare: withdrawals for health are lifted when they would leave no warm, ready server.
 4. Paced orders: ordinary changes go one marked round at a time; room is kept for urgent ones.
 5. Tries and levels: under strain further tries are cut first, then what is let in, the least worth first.
 6. Parts: where the shared table is too long, it is laid out in parts that the proxies are dealt to.
"""

from collections import OrderedDict, defaultdict, deque
from math import ceil
from random import Random

from driftshed import interface as face
from driftshed.figures import RunningMedian, fair_rate, median, weighted_median

LONG_AGO = float("-inf")
ANY_ZONE = -1  # the zone of the one part of a small fleet
NO_PART = -1  # the part of a server without a line

# The design's values. Spans are seconds.
SLOW_LATENCY_RATIO = 2.0  # what a zone complains of
ERROR_SHARE = 0.10  # what a zone complains of
COMPLAINT_MIN_AGE_S = 6.0  # a complaint counts from this long after it was first heard
COMPLAINT_EXPIRY_S = 15.0  # a complaint counts until this long after it was last heard
MIN_COMPLAINING_ZONES = 2
MAX_WITHDRAWN = 2
MAX_WITHDRAWN_SHARE = 1 / 3
WITHDRAWAL_BUDGET = 5  # withdrawals
WITHDRAWAL_BUDGET_WINDOW_S = 30.0
WITHDRAWAL_DURATION_S = 10.0
ENTRY_WEIGHT_SHARE = 0.1  # of the average weight
ENTRY_STEP_S = 2.0  # the weight doubles every step
ENTRY_STEPS = 4  # whole after so many steps
SOLVE_INTERVAL_S = 3.0
MAX_SOLVE_STEP = 0.2
MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
MIN_RELATIVE_CHANGE = 0.1  # of the weight that stands

# Ours.
SLOW_START_LIMIT = 2 / 3  # of the tip multiple: what a cold server may be asked for
REMAINING_WEIGHT_THRESHOLD = (
    1 / 2
)  # of the weight that a part should have: with less left of it, its other changes are as urgent
SOLVE_EXPONENT = 1 / 3  # power of the latency ratio in a step: most of a latency is queueing, which answers late
FACTOR_DECAY = 1 / 3  # a solve's step back toward the start, as a power, where weights are listed
RETENTION_PER_SOLVE = 1 / 2  # of what was met, from one solve to the next
VIEW_WINDOW_S = COMPLAINT_MIN_AGE_S / 2  # a zone's median is over the reports of this long
STRAIN_THRESHOLD = 2 / 5  # the median server takes more than this of the objective: strain
RECOVERY_THRESHOLD = 2 / 3  # of that: no strain
ELEVATED_LATENCY_RATIO = 1.5  # or more than this much of the least it took; of the time at the best part
BUSY_UTILISATION = 0.85  # share of a server's cores in use
ADMITTED_PER_ANSWERED = 0.9  # what is let in at the most, of what is answered
MIN_ADMITTED_SHARE = 0.1  # what is let in at the least, of all
ADMISSION_CUT_FACTOR = 0.6  # of what is let in, at a time
ADMISSION_RISE_FACTOR = 1.2  # of what is let in, at a time
DECAY_PER_EVALUATION = 0.97  # of the best that was seen, from look to look
RETRY_ALLOWANCE = 0.05  # beyond the first, of what comes
LOW_VALUE_RATIO = 2.0  # operations whose value per unit of work is within this of the least are cut together
MAX_MARK = 65534  # as many numbers as marks have
DEAD_ERROR_SHARE = 0.9  # of the tries err: complaints of it count in half the time
MIN_TRIES = 5  # with fewer in its view a zone says nothing
BASELINE_TIME_CONSTANT_S = 2 * COMPLAINT_EXPIRY_S  # how slowly a zone's baseline learns
ORDINARY_SHARE = 1 / 2  # of the message cap and of the lines sent within a grace; the rest is for the urgent
STANDING_TABLES_PER_PART = 2  # standing tables' lines in a part
MIN_PROXIES_PER_PART = 5  # proxies that share a part at the least
CONNECTION_SHARE = 1 / 7  # of what servers accept, as they slow down while filling: proxies with lines to one
OWN_ZONE_PREFERENCE = 4.0  # what a part of the own zone counts for
IMBALANCE_TOLERANCE = 0.2  # beyond its due a part gives proxies away
BALANCING_ROUNDS = 4  # rounds that bring what zones bring to the parts in line with their weight


class Brain:
    def __init__(self, facts: face.StartFacts, seed: int, now: float) -> None:
        self.random = Random(seed)
        self.now = now
        self.subscribe_retry_interval = facts.ask_within / 8
        self.weights_listed = facts.listed_weights != "off"
        self.cold_share = facts.cold_share
        self.warm_within = facts.warm_within
        self.slow_start_limit = facts.tip_multiple * SLOW_START_LIMIT
        self.cap = facts.queue_cap
        self.picks_of_two = facts.pick == "two"
        self.message_overhead = facts.lines_per_message + 1  # and the mark
        self.round_lines = ORDINARY_SHARE * min(self.cap, facts.lines_per_second * facts.drain_grace)
        self.message_cap = facts.message_cap
        self.message_span = facts.message_span
        self.urgent_interval = facts.message_span / facts.message_cap if facts.message_cap else facts.drain_grace / 10
        self.patience = 4 * facts.worst_transit + 8 * facts.queue_cap / facts.lines_per_second
        self.evaluation_interval = facts.report_period / 2
        self.baseline_gain = facts.report_period / 2 / BASELINE_TIME_CONSTANT_S
        self.objectives = [operation.latency_objective for operation in facts.operations]
        value = [operation.billed_value / operation.latency_objective for operation in facts.operations]
        self.low_value = [each < LOW_VALUE_RATIO * min(value) for each in value]
        self.level_form = facts.level_form
        self.unlimited_level = 1.0 if self.level_form == "share" else float(2**30)  # a level that stops nothing
        told = facts.load_fields if facts.load_reports_come == "inline" else ()
        self.utilisation_index = told.index("utilisation") if "utilisation" in told else None
        self.control_interval = facts.report_period * ceil(1 + facts.worst_transit / facts.report_period)
        self.max_part_lines = STANDING_TABLES_PER_PART * max(1, facts.standing_lines)
        self.connectable_share = CONNECTION_SHARE * (facts.least_connections or 0.0) / max(1, facts.proxies)
        self.max_parts = facts.proxies / max(1, facts.supervisors) / MIN_PROXIES_PER_PART
        # Guards against steering all to the fastest while nobody is busy: their latency does not answer until
        # they are swamped. Listed weights say what is due; where there are none, what was learnt stays.
        self.factor_decay = FACTOR_DECAY if self.weights_listed else 0.0
        zones = range(len(facts.zones))
        # Servers: parallel arrays under a dense index. Factor: learnt, beside the listed weight; out_at: out
        # for health since; met: tries, good ones, time of all, fading from solve to solve; strain: the same
        # since the last look, good ones' time alone; line, shut: present weight, present withdrawal.
        self.place = {}  # by id
        self.gone_slots = {}  # the places of those that are gone, the longest gone first
        self.array = [[] for _ in range(14)]
        self.ids = self.array[0]
        self.kind = self.array[1]
        self.state = self.array[2]
        self.started = self.array[3]
        self.entered = self.array[4]
        self.out_at = self.array[5]
        self.listed_weight = self.array[6]
        self.factor = self.array[7]
        self.solve_sample = self.array[8]
        self.strain_sample = self.array[9]
        self.utilisation = self.array[10]
        self.part = self.array[11]
        self.line = self.array[12]
        self.withdrawn = self.array[13]
        # What each zone says of each server; view: judged when, times the usual, erred share.
        self.zone_arrays = [[[] for _ in zones] for _ in range(5)]
        self.reports = self.zone_arrays[0]
        self.baseline = self.zone_arrays[1]
        self.complaint_since = self.zone_arrays[2]
        self.complaint_renewed = self.zone_arrays[3]
        self.view = self.zone_arrays[4]
        # The views of the last while, oldest first, and the medians of what they say: kept up to date as
        # they come and lapse, so that a report costs the same in a fleet of any size.
        self.recent_views: list[OrderedDict[int, tuple]] = [OrderedDict() for _ in zones]
        self.median_slowness = [RunningMedian() for _ in zones]
        self.median_error_share = [RunningMedian() for _ in zones]
        # Parts: the zone of the servers of each, what each zone met there (as in met), withdrawals of late.
        self.part_zone = []
        self.bearable_share = {}
        self.displaced = set()
        self.part_sample = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.withdrawal_times = defaultdict(deque)
        # Proxies: zone, what comes, when written to and joined, the part it should hold and does hold, the
        # mark that it has yet to answer; and the channel: mark, lines, when.
        self.proxy_zone = {}
        self.demand = {}
        self.rate = {}
        self.sent_at = {}
        self.joined_at = {}
        self.target_part = {}
        self.held_part = {}
        self.unanswered = {}
        self.channel = deque()
        self.last_mark = 0
        self.levels_pending = False
        self.awaiting_first_list = True
        self.operation_mix = [1.0 for _ in self.objectives]
        self.let_in = 1.0  # the part of all that comes
        self.tries = face.ONE_AFTER_PROOF
        # The least that the median server took, rising slowly; the most that a unit of weight answered,
        # fading; that against the tries that come and come again: the worst, for one that starts blind.
        self.floor = float("inf")
        self.best_unit_rate = 0.0
        self.answerable_share = facts.tip_multiple**-2
        self.strain_since = now
        self.next_control = now + self.control_interval
        self.target_levels = [(self.unlimited_level, self.tries) for _ in self.objectives]
        self.current_levels: dict[tuple[int, int], tuple] = {}  # present, by part and operation: level and tries
        self.next_subscribe = None if facts.list_is_pushed else now
        self.next_tick = now
        self.next_rebalance = now
        self.next_solve = now + SOLVE_INTERVAL_S
        self.next_urgent = LONG_AGO

    def handle(self, now: float, events: list) -> list:
        self.now = now
        self.orders = []
        for event in events:
            getattr(self, f"_hear_{type(event).__name__.lower()}", lambda _: None)(event)
        if (
            self.next_subscribe is not None and now >= self.next_subscribe
        ):  # again until answered, each at its own moment
            self.orders.append(face.Subscribe(True))
            self.next_subscribe = now + self.subscribe_retry_interval * self.random.uniform(2, 3)
        if self.levels_pending and not self.unanswered:
            self.levels_pending = False
            self._reset_strain_sample()  # what is heard from now on tells of the levels in force
        if now >= self.next_tick:
            self.next_tick = now + self.evaluation_interval
            self.orders.append(face.SetTimer(0, self.next_tick))
            self._evaluate_health()
            if now >= self.next_control:
                self._control_admission()
            if now >= self.next_solve:
                self.next_solve = now + SOLVE_INTERVAL_S
                self._solve()
        lines, out = self._target_weights(), self._target_withdrawals()
        self._assign_parts(lines, out)
        self._reconcile(lines, out)
        return self.orders

    def _hear_listing(self, listing: face.Listing) -> None:
        if listing.kind == face.FAILED:
            self.next_subscribe = self.now + self.subscribe_retry_interval * self.random.uniform(0.2, 1)
            return
        if listing.kind != face.CACHED:
            self.next_subscribe = None  # a subscription's answer, or its changes
        if listing.kind != face.DELTA:
            named = {entry.server for entry in listing.entries}
            for i in [i for server, i in self.place.items() if server not in named]:
                self.state[i] = face.GONE
                self.gone_slots.setdefault(i)
        if self.awaiting_first_list:
            self._create_parts([entry for entry in listing.entries if entry.state == face.READY])
        # Of each part: its servers by kind, and their weight; kept as the entries are gone through.
        self.part_tally = [(defaultdict(int), [0.0]) for _ in self.part_zone]
        for i in range(len(self.ids)):
            self._update_tally(i, 1)
        for entry in listing.entries:
            if entry.server in self.place or entry.state != face.GONE:
                self._apply_entry(entry)
        self.awaiting_first_list &= face.READY not in self.state  # with nobody ready it tells nothing of the fleet

    def _create_parts(self, ready: list) -> None:
        """The parts of the shared table. Guards against a whole one that no proxy can be sent in time: a line
        to every server at every proxy costs connections, lines and messages by the product of both."""
        shorter = max(self.max_part_lines / STANDING_TABLES_PER_PART, self.connectable_share * len(ready))
        fits = max(min(self.max_part_lines, shorter), len(ready) / max(1.0, self.max_parts))
        counts = [sum(entry.zone == zone for entry in ready) for zone in range(len(self.reports))]
        if len(ready) >= max(fits, self.max_part_lines) * max(2, sum(map(bool, counts))):
            self.part_zone = [z for z, n in enumerate(counts) for _ in range(max(n > 0, int(n / fits)))]
        else:
            self.part_zone = [ANY_ZONE]

    def _apply_entry(self, entry) -> None:
        started = LONG_AGO if entry.started is None else entry.started
        if new := entry.server not in self.place:
            self._allocate_slot(entry)
        i = self.place[entry.server]
        self._update_tally(i, -1)
        if not self.line[i] and not self.withdrawn[i]:
            self.part[i] = self._choose_part(entry)
        if entry.state == face.READY and (self.state[i] != face.READY or started > self.started[i]):
            self._begin_entry(i, LONG_AGO if self.awaiting_first_list else self.now)
            if (started > self.started[i] or new) and not self.awaiting_first_list:
                # One that starts now begins with what its kind has learnt, not with an average part.
                kin = [k for servers in self._ready_by_part() for k in servers if self.kind[k] == entry.kind]
                self.factor[i] = median([self.factor[k] for k in kin if k != i]) or 1.0
        self.state[i] = entry.state
        self.started[i] = max(started, self.started[i])
        self.gone_slots.setdefault(i) if entry.state == face.GONE else self.gone_slots.pop(i, None)
        if self.weights_listed and entry.weight > 0:
            self.listed_weight[i] = entry.weight
        self._update_tally(i, 1)

    def _allocate_slot(self, entry: face.Entry) -> None:
        """A new server's place. Guards against growth with each ever listed: once they outnumber the rest the
        longest gone is forgotten. Its late reports go by its id, so the new one is not credited with them."""
        many = 2 * len(self.gone_slots) > len(self.ids)
        free = (k for k in self.gone_slots if many and not self.line[k] and not self.withdrawn[k])
        i = next(free, len(self.ids))
        if i < len(self.ids):
            del self.place[self.ids[i]], self.gone_slots[i]
        self.place[entry.server] = i
        blank = entry.server, entry.kind, face.GONE, LONG_AGO, LONG_AGO, None, 1.0, 1.0, [0.0] * 3, [0.0] * 3
        for array, value in zip(self.array, (*blank, None, 0, 0.0, False), strict=True):
            array[i : i + 1] = [value]
        for zone in range(len(self.reports)):
            self._discard_view(zone, i)
            unsaid = deque(), None, None, LONG_AGO, (LONG_AGO, 0.0, 0.0)
            for array, value in zip(self.zone_arrays, unsaid, strict=True):
                array[zone][i : i + 1] = [value]

    def _update_tally(self, i: int, sign: int) -> None:
        (kinds, weight), sign = self.part_tally[self.part[i]], sign * int(self.state[i] == face.READY)
        kinds[self.kind[i]] += sign
        weight[0] += sign * self.listed_weight[i]

    def _choose_part(self, entry) -> int:
        """The part of its zone with the fewest of its kind, then of least weight."""
        parts = [p for p, zone in enumerate(self.part_zone) if zone == entry.zone] or range(len(self.part_tally))
        return min(parts, key=lambda p: (self.part_tally[p][0][entry.kind], self.part_tally[p][1][0]))

    def _ready_by_part(self) -> list[list[int]]:
        members: list[list[int]] = [[] for _ in self.part_zone]
        for i, state in enumerate(self.state):
            if state == face.READY:
                members[self.part[i]].append(i)
        return members

    def _begin_entry(self, i: int, at: float) -> None:
        """A new, restarted or returned server begins its steps with nothing held against it."""
        self.entered[i] = at
        self.out_at[i] = None
        for zone in range(len(self.reports)):
            self.reports[zone][i].clear()
            self.complaint_since[zone][i] = None

    def _hear_joined(self, joined: face.Joined) -> None:
        self._hear_left(joined)
        self.sent_at[joined.proxy] = deque()
        self.proxy_zone[joined.proxy] = joined.zone
        self.joined_at[joined.proxy] = self.now
        self.demand[joined.proxy] = [joined.rate * part / sum(self.operation_mix) for part in self.operation_mix]
        self.rate[joined.proxy] = sum(self.demand[joined.proxy])

    def _hear_left(self, left: face.Left) -> None:
        parts = self.target_part, self.held_part, self.unanswered
        for known in (self.sent_at, self.joined_at, self.proxy_zone, self.demand, self.rate, *parts):
            known.pop(left.proxy, None)
        if not self.unanswered:
            self.channel.clear()  # nobody is left who would answer for it

    def _hear_applied(self, applied: face.Applied) -> None:
        # Messages leave in order: what was ordered before this mark waits no more.
        if any(mark == applied.mark for mark, _, _ in self.channel):
            while self.channel[0][0] != applied.mark:
                self.channel.popleft()
        if self.unanswered.get(applied.proxy) == applied.mark:
            del self.unanswered[applied.proxy]
            if not self.unanswered:
                self.channel.clear()

    def _hear_heard(self, heard: face.Heard) -> None:
        i = self.place.get(heard.server)
        if i is None or not heard.tries or heard.zone >= len(self.reports):
            return
        good = heard.tries - min(heard.errored, heard.tries)
        took, lost = good * (heard.latency or 0.0), (heard.tries - good) * self._mean_objective()
        seen = self.part_sample[heard.zone, self.part[i]]
        for row, time in (self.solve_sample[i], took + lost), (seen, took + lost), (self.strain_sample[i], took):
            row[0] += heard.tries
            row[1] += good
            row[2] += time
        if self.utilisation_index is not None and heard.load:
            self.utilisation[i] = heard.load[self.utilisation_index]
        self.reports[heard.zone][i].append((self.now, heard.tries, heard.tries - good, heard.latency))
        self._update_complaint(heard.zone, i, self.reports[heard.zone][i])

    def _update_complaint(self, zone: int, i: int, reports: deque) -> None:
        while reports[0][0] < self.now - VIEW_WINDOW_S:
            reports.popleft()
        tries = sum(report[1] for report in reports)
        if tries < MIN_TRIES:
            return
        erred = sum(report[2] for report in reports) / tries
        took = weighted_median([(report[3], report[1] - report[2]) for report in reports if report[3]])
        usual = self.baseline[zone][i]
        slow = took / usual if took is not None and usual else 0.0
        self._record_view(zone, i, slow, erred)
        # Guards against naming the noisiest in a fleet-wide trouble (overload, a slow thing behind all): what
        # a zone meets at most of its servers names none. It would miss half of a fleet that fails together.
        # In place of the design's 50 ms: a slow server's answers come too late.
        late = took is not None and took > self._mean_objective()
        late = late and slow > SLOW_LATENCY_RATIO * max(1.0, self.median_slowness[zone].value())
        if late or erred > max(ERROR_SHARE, SLOW_LATENCY_RATIO * self.median_error_share[zone].value()):
            lapsed = (
                self.complaint_since[zone][i] is None or self.complaint_renewed[zone][i] < self.now - COMPLAINT_EXPIRY_S
            )
            self.complaint_since[zone][i] = self.now if lapsed else self.complaint_since[zone][i]
            self.complaint_renewed[zone][i] = self.now
            return
        self.complaint_since[zone][i] = None
        if took is not None and slow <= SLOW_LATENCY_RATIO and erred <= ERROR_SHARE:
            self.baseline[zone][i] = took if usual is None else usual + self.baseline_gain * (took - usual)

    def _record_view(self, zone: int, i: int, slow: float, erred: float) -> None:
        fresh = self.recent_views[zone]
        self._discard_view(zone, i)
        while fresh and fresh[oldest := next(iter(fresh))][0] <= self.now - VIEW_WINDOW_S:
            self._discard_view(zone, oldest)
        self.median_slowness[zone].swap(None, slow)
        self.median_error_share[zone].swap(None, erred)
        self.view[zone][i] = fresh[i] = self.now, slow, erred

    def _discard_view(self, zone: int, i: int) -> None:
        _, slow, erred = self.recent_views[zone].pop(i, (None, None, None))
        self.median_slowness[zone].swap(slow, None)
        self.median_error_share[zone].swap(erred, None)

    def _hear_demand(self, demand: face.Demand) -> None:
        if demand.proxy in self.sent_at and demand.window > 0 and demand.operation < len(self.operation_mix):
            rates = self.demand[demand.proxy]
            rates[demand.operation] += (demand.arrived / demand.window - rates[demand.operation]) / 2
            self.rate[demand.proxy] = sum(rates)
            self.operation_mix[demand.operation] = 0.99 * self.operation_mix[demand.operation] + 0.01 * demand.arrived

    def _mean_objective(self) -> float:
        return sum(a * b for a, b in zip(self.objectives, self.operation_mix, strict=True)) / sum(self.operation_mix)

    def _warm(self, i: int) -> bool:
        return self.state[i] == face.READY and self.now - self.started[i] >= self.warm_within

    def _evaluate_health(self) -> None:
        """The design's withdrawals and returns."""
        members = self._ready_by_part()
        ready = [i for servers in members for i in servers]
        for i in ready:
            if self.out_at[i] is not None and self.now - self.out_at[i] >= WITHDRAWAL_DURATION_S:
                self._begin_entry(i, self.now)
        named = []
        for i in ready:
            if self.out_at[i] is None:
                # Its zones are those that have judged it of late: a part may be known to one zone alone.
                zones = [zone for zone, view in enumerate(self.view) if view[i][0] > self.now - COMPLAINT_EXPIRY_S]
                naming = [zone for zone in zones if self._complaint_counts(zone, i)]
                if naming and len(naming) >= min(MIN_COMPLAINING_ZONES, len(zones)):
                    named.append((min(self.complaint_since[zone][i] for zone in naming), i))
        for _, i in sorted(named):  # the longest complained of first
            # A part is what a whole small fleet is: the design's caps hold in each.
            part, spent = members[self.part[i]], self.withdrawal_times[self.part[i]]
            out = sum(self.out_at[k] is not None for k in part)
            while spent and spent[0] <= self.now - WITHDRAWAL_BUDGET_WINDOW_S:
                spent.popleft()
            others = any(self._warm(k) and self.out_at[k] is None for k in part if k != i)
            if (
                out + 1 > min(MAX_WITHDRAWN, int(len(part) * MAX_WITHDRAWN_SHARE))
                or len(spent) >= WITHDRAWAL_BUDGET
                or not others
            ):
                continue
            self.out_at[i] = self.now
            spent.append(self.now)
            views = [view[i] for view in self.view if view[i][0] > LONG_AGO]
            said = "; ".join(f"{slow:.1f} x usual, {erred:.0%} erred" for _, slow, erred in views)
            self.orders.append(face.Log(f"withdrawn {self.ids[i].hex()}, {out} were out: {said}"))

    def _complaint_counts(self, zone: int, i: int) -> bool:
        # Guards against a server that answers next to nothing and holds what it takes until clients give
        # up: it needs less patience than a late one. Not under strain, when weak servers look dead.
        dead = self.view[zone][i][2] >= DEAD_ERROR_SHARE and self.tries != face.NO_TRY
        since, lapsed = self.complaint_since[zone][i], self.complaint_renewed[zone][i] < self.now - COMPLAINT_EXPIRY_S
        return since is not None and not lapsed and self.now - since >= COMPLAINT_MIN_AGE_S * (1 / 2 if dead else 1)

    def _solve(self) -> None:
        """The companion: each weight one step toward equal latency."""
        # Guards against a server that keeps or draws work by failing: an errored try adds a whole objective.
        # It also turns work from a weak server whose answers come too late.
        enough = {i: row for i, row in enumerate(self.solve_sample) if row[0] >= MIN_TRIES and row[2] > 0}
        latency = {i: took / max(1.0, good) for i, (_, good, took) in enough.items()}
        for row in [*self.solve_sample, *self.part_sample.values()]:
            row[:] = [part * RETENTION_PER_SOLVE for part in row]
        open_ones = [i for i in latency if self.state[i] == face.READY and self.out_at[i] is None]
        usual = median([latency[i] for i in open_ones])
        for i in open_ones:
            step = min(1 + MAX_SOLVE_STEP, max(1 - MAX_SOLVE_STEP, (usual / latency[i]) ** SOLVE_EXPONENT))
            self.factor[i] = min(MAX_FACTOR, max(MIN_FACTOR, self.factor[i] ** (1 - self.factor_decay) * step))

    def _control_admission(self) -> None:
        """Guards against a fleet that is asked for more than it can do, or is jammed by what it repeats. The
        median server's good answers tell, so that single sick servers, and tries that fail at once, move
        nothing. Harm: a slow thing behind all that would pass by itself."""
        took = weighted_median([(total / good, good) for _, good, total in self.strain_sample if good])
        tries, good = sum(row[0] for row in self.strain_sample), sum(row[1] for row in self.strain_sample)
        # Guards against levels cut since proxies have joined whose tries no report tells of yet.
        known = [r for proxy, r in self.rate.items() if self.joined_at[proxy] <= self.strain_since - VIEW_WINDOW_S]
        span, come = self.now - self.strain_since, max(1.0, sum(known))
        self._reset_strain_sample()
        if not tries:
            return  # silence is neither strain nor ease
        objective = self._mean_objective()
        took = objective if took is None else took
        # Work that takes long when nobody waits is no strain: what the fleet takes at its best counts too.
        pressure = took / min(
            2 * STRAIN_THRESHOLD * objective, max(STRAIN_THRESHOLD * objective, ELEVATED_LATENCY_RATIO * self.floor)
        )
        busy, eased = median([share for share in self.utilisation if share is not None]), RECOVERY_THRESHOLD
        if pressure <= 1:
            self.floor = min(took, self.floor / DECAY_PER_EVALUATION)
        if busy is not None:  # late answers from servers with cores to spare are not for want of servers
            pressure, eased = min(pressure, busy / BUSY_UTILISATION), 1.0
        # The best that a unit of weight was seen to answer tells what a cold one bears, also in a jam.
        full = self._full_weight()
        self.best_unit_rate = max(self.best_unit_rate * DECAY_PER_EVALUATION, good / span / (full or 1.0))
        self.answerable_share = min(1.0, self.best_unit_rate * full * span / (2 * tries - good))
        if self.levels_pending:
            return
        if pressure > 1:
            # Cutting tries is known not to help where hardly any are made beyond the first.
            spare = self.tries != face.NO_TRY and tries / span > (1 + RETRY_ALLOWANCE) * come
            self.tries = face.NO_TRY
            if not spare and self.level_form != "off":
                # What a strained fleet answers is what it can do: let in a little less, in few large steps.
                # What comes is known by reports of other moments: a slight strain goes by its own look alone.
                slight = self.let_in * good / tries / pressure**2
                bearable = ADMITTED_PER_ANSWERED * max(good / span / come, slight)
                self.let_in = min(self.let_in, max(self.let_in * ADMISSION_CUT_FACTOR, bearable, MIN_ADMITTED_SHARE))
        elif pressure < eased and self.let_in < 1:
            self.let_in = min(1.0, self.let_in * eased / max(pressure, eased / ADMISSION_RISE_FACTOR))
        elif pressure < eased:
            self.tries = face.ONE_AFTER_PROOF
        # Only now: levels that follow every swing of demand would be under way for ever, and never judged.
        self.target_levels = self._target_levels()

    def _full_weight(self) -> float:
        return sum(self.listed_weight[i] * self.factor[i] for servers in self._ready_by_part() for i in servers)

    def _reset_strain_sample(self) -> None:
        self.strain_sample[:] = [[0.0, 0.0, 0.0] for _ in self.ids]
        self.strain_since = self.now
        self.next_control = self.now + self.control_interval

    def _target_levels(self) -> list[tuple[float, int]]:
        rates = [sorted(rates[k] for rates in self.demand.values()) for k in range(len(self.low_value))]
        come = sum(map(sum, rates))
        cheap = sum(sum(rates[k]) for k, is_cheap in enumerate(self.low_value) if is_cheap) or 1.0
        cheap_part = max(MIN_ADMITTED_SHARE, 1 - (1 - self.let_in) * come / cheap)
        dear_part = max(MIN_ADMITTED_SHARE, (self.let_in * come - cheap_part * cheap) / (come - cheap or 1.0))
        valves = []
        for k, part in enumerate(cheap_part if is_cheap else dear_part for is_cheap in self.low_value):
            level = part if self.level_form == "share" else fair_rate(rates[k], part)
            valves.append((level if self.let_in < 1 and part < 1 else self.unlimited_level, self.tries))
        return valves

    def _target_weights(self) -> list[float]:
        """The weight that each server's line should have now; 0 for no line."""
        wanted = [0.0] * len(self.ids)
        members = self._ready_by_part()
        ready = [i for servers in members for i in servers]
        entry = sum(self.listed_weight[i] for i in ready) / max(1, len(ready)) * ENTRY_WEIGHT_SHARE
        full, brought = self._full_weight(), [0.0] * len(members)
        for proxy, part in self.target_part.items():
            brought[part] += self.rate[proxy]
        for part, servers in enumerate(members):
            steps = {i: min(99.0, (self.now - self.entered[i]) // ENTRY_STEP_S) for i in servers}
            settled = sum(self.listed_weight[i] for i in servers if steps[i] >= ENTRY_STEPS and self.out_at[i] is None)
            entering = settled < sum(self.listed_weight[i] for i in servers) / 2
            for i in servers:
                wanted[i] = self.listed_weight[i] * self.factor[i]
                # Steps presume others that carry the rest. With most of the part still entering they would
                # push over the few that are in, so then only what a cold one is sure to bear holds it back.
                if not entering:
                    wanted[i] = min(wanted[i], entry * 2 ** steps[i])
            # Guards against queues at a server that is half warm: no more than it is sure to do by now.
            cold, self.bearable_share[part] = {}, 0.0
            for i in servers:
                age = (self.now - self.started[i]) // ENTRY_STEP_S * ENTRY_STEP_S
                if age < self.warm_within:
                    grown = self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within
                    wanted[i] = min(wanted[i], self.listed_weight[i] * grown)
                    bears = (
                        grown
                        * self.slow_start_limit
                        * self.answerable_share
                        * self.listed_weight[i]
                        * self.factor[i]
                        / full
                    )
                    self.bearable_share[part] += bears
                    share = bears * (sum(brought) / brought[part] if brought[part] else len(brought))
                    # Guards against a cold server that alone answers: of two drawn, proxies take the one with
                    # less out, so among servers that hold what they take it gets what either draw brings.
                    cold[i] = 1 - max(0.0, 1 - share) ** 0.5 if self.picks_of_two else share
            # Guards against pushing a cold server over: however much comes, its share of all tries stays
            # within what it bears; warm ones do not fall. Harm: in a deep overload it idles.
            warm = sum(wanted[i] for i in servers if i not in cold and self.out_at[i] is None)
            self.bearable_share[part] = float("inf") if warm else self.bearable_share[part]
            if warm and sum(cold.values()) < 1:
                for i, share in cold.items():
                    wanted[i] = min(wanted[i], share * warm / (1 - sum(cold.values())))
        return wanted

    def _target_withdrawals(self) -> list[bool]:
        out = [at is not None and self.state[i] == face.READY for i, at in enumerate(self.out_at)]
        # Guards against a part without a server: with no other warm one, nobody is withdrawn for health.
        safe = {self.part[i] for i in range(len(out)) if self._warm(i) and not out[i]}
        return [shut and self.part[i] in safe for i, shut in enumerate(out)]

    def _assign_parts(self, lines: list[float], out: list[bool]) -> None:
        """Which part each proxy should hold. Guards against a part asked for more than it does, or empty."""
        weight = self.part_weight = [0.0] * len(self.part_zone)
        for i, line in enumerate(lines):
            weight[self.part[i]] += 0.0 if out[i] else line
        lost = {p for p in self.proxy_zone if p not in self.target_part or not weight[self.target_part[p]]}
        rate, come = self.rate, sum(self.rate.values())
        # Guards against pushing over a part of cold servers alone: what they do not bear leaves at once.
        left = {part: most * come for part, most in self.bearable_share.items() if most < float("inf")}
        self.displaced = set()
        bearing = (p for p, part in self.target_part.items() if part in left and p not in lost)
        for proxy in sorted(bearing, key=lambda p: (rate[p], p)):
            left[self.target_part[proxy]] -= rate[proxy]
            if left[self.target_part[proxy]] < 0:
                self.displaced.add(proxy)
        lost |= self.displaced
        even = self.now >= self.next_rebalance and not self.unanswered and len(weight) > 1
        if not any(weight) or not (lost or even):
            return
        self.next_rebalance = self.now + self.evaluation_interval if even else self.next_rebalance
        due = self._target_shares(weight, rate)
        for zone in sorted(set(self.proxy_zone.values())):
            mine = sorted((p for p, home in self.proxy_zone.items() if home == zone), key=lambda p: (-rate[p], p))
            over = [-each for each in due[zone]]
            for proxy in set(mine) - lost:
                over[self.target_part[proxy]] += rate[proxy]
            for proxy in mine:
                giver = self.target_part.get(proxy)
                if proxy in lost:
                    filled = (p for p, w in enumerate(weight) if w)
                    taker = min(filled, key=lambda p: over[p] / (due[zone][p] or 1.0))
                else:
                    if not even or rate[proxy] > over[giver] or over[giver] <= IMBALANCE_TOLERANCE * due[zone][giver]:
                        continue
                    taker = over.index(min(over))
                    # Guards against a part that keeps the busiest proxies since no other lacks as much as one
                    # brings: far over its due, it gives one to a part that ends less than half as far over.
                    far = over[giver] / (due[zone][giver] or 1.0)
                    ends = (over[taker] + rate[proxy]) / (due[zone][taker] or 1.0)
                    if ends > 0 and (far <= REMAINING_WEIGHT_THRESHOLD or ends >= REMAINING_WEIGHT_THRESHOLD * far):
                        continue
                    over[giver] -= rate[proxy]
                self.target_part[proxy] = taker
                over[taker] += rate[proxy]

    def _part_quality(self, zone: int) -> list[float]:
        """How well each part answers a zone, up to 1; what is not heard of counts as well again. Guards
        against one that a zone reaches badly: a building lost before the list tells, a sick way, trouble of
        our own."""
        rows = [self.part_sample[zone, part] for part in range(len(self.part_zone))]
        best = min((took / good for _, good, took in rows if good >= MIN_TRIES), default=0.0)
        if not best:
            return [1.0 for _ in rows]
        costs = [(took + MIN_TRIES * best) / (good + MIN_TRIES) for _, good, took in rows]
        return [min(1.0, ELEVATED_LATENCY_RATIO * best / cost) ** 2 for cost in costs]

    def _target_shares(self, weight: list[float], rate: dict[int, float]) -> list[list[float]]:
        """What each zone's proxies should bring to each part: in all as the parts weigh, near ones first. A
        zone that none of the own proxies is in is taken to bring what is usual to its own servers."""
        zones = range(len(self.reports))
        come = [sum(each for proxy, each in rate.items() if self.proxy_zone[proxy] == zone) for zone in zones]
        held = [sum(w for w, at in zip(weight, self.part_zone, strict=True) if at == zone) for zone in zones]
        usual = sum(come) / (sum(h for h, c in zip(held, come, strict=True) if c) or 1.0)
        come = [each or usual * held[zone] for zone, each in enumerate(come)]
        near = [[OWN_ZONE_PREFERENCE if place == zone else 1.0 for place in self.part_zone] for zone in zones]
        rows = [zip(weight, near[zone], self._part_quality(zone), strict=True) for zone in zones]
        pull = [[w * n * answers for w, n, answers in row] for row in rows]
        for _ in range(BALANCING_ROUNDS):
            due = [[come[zone] * each / sum(row) for each in row] for zone, row in enumerate(pull)]
            brought = [sum(column) or 1.0 for column in zip(*due, strict=True)]
            fair = [w / sum(weight) * sum(brought) / b for w, b in zip(weight, brought, strict=True)]
            pull = [[each * f for each, f in zip(row, fair, strict=True)] for row in pull]
        return [[min(each, come[zone] * self.bearable_share[p]) for p, each in enumerate(due[zone])] for zone in zones]

    def _reconcile(self, lines: list[float], out: list[bool]) -> None:
        while self.channel and self.now - self.channel[0][2] > self.patience:
            self.channel.popleft()  # a lost answer must not stall the rest
            kept = {mark for mark, _, _ in self.channel}
            self.unanswered = {p: mark for p, mark in self.unanswered.items() if mark in kept}
        urgent, ordinary = [], []
        for i, weight in enumerate(lines):
            part, present = self.part[i], self.line[i]
            line = (part, face.SetLine(self.ids[i], weight, part))
            restarted = self.entered[i] == self.now or self.now - self.started[i] < self.warm_within
            if present and (not weight or (restarted and weight < present * (1 - MAX_SOLVE_STEP))):
                urgent.append((weight, *line))
            elif weight and (not present or abs(weight - present) >= MIN_RELATIVE_CHANGE * present):
                ordinary.append((-abs(weight - present) / (weight + present), *line))  # the largest first
            if out[i] != self.withdrawn[i]:
                ordinary.append((-1.0, part if present else NO_PART, face.Withdraw(out[i], self.ids[i])))
        stays = [0.0] * len(self.part_zone)
        for part, line, present, gone in zip(self.part, lines, self.line, out, strict=True):
            stays[part] += 0.0 if gone else min(line, present)
        for part in {part for weight, part, _ in urgent if not weight}:
            if stays[part] <= self.part_weight[part] * REMAINING_WEIGHT_THRESHOLD:
                # Guards against a moment without a server, and against cold ones left with the part of the
                # warm ones that end: what replaces most of a table goes with its end.
                urgent = [row for row in ordinary if row[1] == part] + urgent
                ordinary = [row for row in ordinary if row[1] != part]
        for k, (level, tries) in enumerate(self.target_levels):
            for part in range(len(self.part_zone)):
                present, how = self.current_levels.get((part, k), (0.0, None))
                if how != tries or abs(level - present) >= MIN_RELATIVE_CHANGE * present:
                    ordinary.append((-1.0, part, face.SetLevel(part, level, 1 << k, tries)))
        users: dict[int, list[int]] = defaultdict(list)
        for proxy in self.proxy_zone:
            users[self.held_part.get(proxy)].append(proxy)  # under None those that hold tables of others
        go, messages, free = [], {}, not self.unanswered
        if self.now >= self.next_urgent and self._select_orders(urgent, users, messages, self.cap, 1.0, go):
            self.next_urgent = self.now + self.urgent_interval
        rows = [row for row in ordinary if free or row[1] not in users]
        self._select_orders(rows, users, messages, self.round_lines, ORDINARY_SHARE, go)
        ours = [0] * len(self.part_zone)
        for part, line, shut in zip(self.part, self.line, self.withdrawn, strict=True):
            ours[part] += bool(line) + shut
        for proxy, part in self.target_part.items():
            held = self.held_part.get(proxy)
            moves = held is not None and self.part_weight[held] and proxy not in self.displaced  # the rest must
            if held == part or (moves and not free):
                continue
            size, share = (
                1 + ours[part] + len(self.objectives) + self.message_overhead,
                ORDINARY_SHARE if moves else 1.0,
            )
            waiting = self._waiting() + sum(messages.values())
            most = self.cap * (ORDINARY_SHARE if waiting and held is None else share)  # room for drains
            if waiting + size > most or not self._may_message(proxy, share):
                continue
            go.append(face.UseTable(0, part, proxy))
            self.held_part[proxy] = part
            messages[proxy] = messages.get(proxy, 0) + size
        if messages:
            self.last_mark = self.last_mark % MAX_MARK + 1
            go.append(face.Mark(False, self.last_mark))
            self.levels_pending |= any(isinstance(order, face.SetLevel) for order in go)
            self.channel.append((self.last_mark, sum(messages.values()), self.now))
            for proxy in messages:
                self.unanswered[proxy] = self.last_mark
                self.sent_at[proxy].append(self.now)
        self.orders += go

    def _select_orders(self, rows: list, users: dict, messages: dict, most: float, share: float, go: list) -> bool:
        """Takes the orders that fit, the least key first: so many lines, and this share of the caps."""
        waiting, used, sent, may = self._waiting(), sum(messages.values()), False, {}
        for _, part, order in sorted(rows, key=lambda row: row[0]):
            proxies = users.get(part, []) + users.get(None, []) * isinstance(order, face.Withdraw)
            if part not in may:
                may[part] = all(proxy in messages or self._may_message(proxy, share) for proxy in proxies)
            more = sum(1 if proxy in messages else 1 + self.message_overhead for proxy in proxies)
            first = not sent and share < 1  # one line a round goes even if it is more than a round's part
            over = waiting + used + more > self.cap * share or (used + more > most and not first)
            if more and (over or not may[part]):
                continue
            for proxy in proxies:
                messages[proxy] = messages.get(proxy, self.message_overhead) + 1
            used, sent = used + more, True
            go.append(order)  # an order that goes out is the present state from now on
            if isinstance(order, face.SetLine):
                self.line[self.place[order.server]] = order.weight
            elif isinstance(order, face.Withdraw):
                self.withdrawn[self.place[order.server]] = order.on
            else:
                self.current_levels[part, order.operations.bit_length() - 1] = (order.level, order.tries)
        return sent

    def _may_message(self, proxy: int, share: float) -> bool:
        sent = self.sent_at[proxy]
        while sent and sent[0] <= self.now - self.message_span:
            sent.popleft()
        return not self.message_cap or len(sent) < self.message_cap * share - 1

    def _waiting(self) -> float:
        return sum(lines for _, lines, _ in self.channel)
