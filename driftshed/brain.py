"""The decisions of one supervisor.

    brain = Brain(facts, seed, now)     # facts: interface.StartFacts
    orders = brain.handle(now, events)  # the same events always bring the same orders

The types of facts, events and orders are in `driftshed/interface.py`. The design (docs/design.md) decides the
ordinary table: zones complain, lasting complaints of enough zones withdraw a server under caps, it returns in
steps, and ONE table that all proxies share is steered by latency. Mechanisms beside the design, six at most:

 1. Following the list: a draining or gone server loses its line at once, outside the caps.
 2. Cold servers: no more weight than the capacity that a started server is sure to have by now, and no more
    of all tries than it bears.
 3. Never bare: withdrawals for health are lifted when they would leave no warm, ready server.
 4. Paced orders: ordinary changes go one marked round at a time; room is kept for urgent ones.
 5. Tries and levels: while the fleet's median server is short of time, further tries are cut first, then what
    is let in, operations of the least billed value per unit of work first.
"""

from collections import deque
from math import ceil
from random import Random

from driftshed import interface as face

LONG_AGO = float("-inf")
TABLE = 0  # the one shared table

# The design's values. Spans are seconds.
SLOW_TIMES, ERRED_SHARE = 2.0, 0.10  # what a zone complains of
LASTING, LAPSE = 6.0, 15.0  # a complaint counts from, and until this long after it was last heard
ZONES_TO_AGREE, MOST_OUT, MOST_OUT_SHARE = 2, 2, 1 / 3
BUDGET, BUDGET_SPAN = 5, 30.0  # withdrawals
OUT_FOR = 10.0
ENTRY_PART, ENTRY_STEP = 0.1, 2.0  # of the average weight, doubling every step
SOLVE_EVERY, SOLVE_STEP, LEAST_FACTOR, MOST_FACTOR = 3.0, 0.2, 0.5, 2.0
WORTH_SENDING = 0.1  # of the weight that stands

# Ours.
SLOW_OVER = 1.0  # latency objectives, for the design's 50 ms: a slow server's answers come too late
SPARED = 1 / 2  # of the tip multiple: what a cold server may be asked for
DAMPED = 1 / 3  # power of the latency ratio in a step: most of a latency is queueing, which answers late
LEAK = 1 / 3  # a solve's step back toward the start, as a power, where weights are listed
KEPT = 1 / 2  # of what was met, from one solve to the next
VIEW = LASTING / 2  # a zone's median is over the reports of this long
STRAINED = 2 / 5  # the median server takes more than this of the objective: strain
EASED = 2 / 3  # of that: no strain
HEADROOM, LEAST_LET_IN = 0.9, 0.1  # what is let in at the most, of what is answered; at the least, of all
LARGEST_CUT, LARGEST_RISE = 0.6, 1.2  # of what is let in, at a time
DRAINING, RESUMED, FADE = 0.5, 0.7, 0.97  # of the knee: least let in, let in again when eased, kept each look
SPARE_TRIES = 0.05  # beyond the first, of what comes
CHEAP_WITHIN = 2.0  # operations whose value per unit of work is within this of the least are cut together
MARKS, MARKS_AHEAD = 65534, 1000  # numbers of marks; one up to so far ahead of another came later
DEAD_SHARE = 0.9  # of the tries err: complaints of it count in half the time
TRIES_TO_JUDGE = 5  # with fewer in its view a zone says nothing
BASELINE_OVER = 2 * LAPSE  # how slowly a zone's baseline learns
ORDINARY_SHARE = 1 / 2  # of the message cap and of the lines sent within a grace; the rest is for the urgent


class Brain:
    def __init__(self, facts: face.StartFacts, seed: int, now: float) -> None:
        self.random = Random(seed)
        self.now = now
        # What the facts come down to.
        self.asks = not facts.list_is_pushed
        self.ask_again = facts.ask_within / 8
        self.cold_share, self.warm_within = facts.cold_share, facts.warm_within
        self.spare = facts.tip_multiple * SPARED
        self.head = facts.lines_per_message + 1  # and the mark
        self.cap = facts.queue_cap
        self.all_in = 1.0 if facts.level_form == "share" else float(2**30)  # a level that stops nothing
        self.round_lines = ORDINARY_SHARE * min(self.cap, facts.lines_per_second * facts.drain_grace)
        self.message_cap, self.message_span = facts.message_cap, facts.message_span
        self.gap = facts.message_span / facts.message_cap if facts.message_cap else facts.drain_grace / 10
        self.patience = 4 * facts.worst_transit + 8 * facts.queue_cap / facts.lines_per_second
        self.tick = facts.report_period / 2
        self.objectives = [operation.latency_objective for operation in facts.operations]
        value = [operation.billed_value / operation.latency_objective for operation in facts.operations]
        self.cheap = [each < CHEAP_WITHIN * min(value) for each in value]
        self.levels_by = facts.level_form
        self.control_every = facts.report_period * ceil(1 + facts.worst_transit / facts.report_period)
        self.weighs = facts.listed_weights != "off"
        # Guards against steering all work to the fastest while nobody is busy: their latency does not answer
        # until they are swamped. Listed weights say what is due; where there are none, what was learnt stays.
        self.leak = LEAK if self.weighs else 0.0
        zones = range(len(facts.zones))
        # Servers: parallel arrays under a dense index.
        self.place: dict[bytes, int] = {}
        self.ids: list[bytes] = []
        self.kind: list[int] = []
        self.state: list[int] = []
        self.started: list[float] = []
        self.listed: list[float] = []  # listed weight
        self.factor: list[float] = []  # learnt, beside the listed weight
        self.entered: list[float] = []  # when its steps began
        self.out_at: list[float | None] = []  # withdrawn for health since
        self.met: list[list[float]] = []  # tries, good ones, time of all: fading from solve to solve
        self.line: list[float] = []  # present: weight of its line, 0 for none
        self.shut: list[bool] = []  # present: withdrawn
        # What each zone says of each server.
        self.reports: list[list[deque]] = [[] for _ in zones]
        self.baseline: list[list[float | None]] = [[] for _ in zones]
        self.since: list[list[float | None]] = [[] for _ in zones]
        self.renewed: list[list[float]] = [[] for _ in zones]
        self.view: list[list[tuple]] = [[] for _ in zones]  # judged when, times the usual, erred share
        self.zone_heard = [LONG_AGO for _ in zones]
        # Proxies: when each was written to, those still to be put on the table, answers still to come.
        self.sent_at: dict[int, deque] = {}
        self.unbound: dict[int, None] = {}
        self.unanswered: dict[int, int] = {}
        self.channel: deque[tuple[int, int, float]] = deque()  # mark, lines, when: may still wait there
        self.marks = 0
        # Load: what the servers met since it was last looked at, what comes to each proxy, what is let in.
        self.strain: list[list[float]] = []  # tries, good ones, time of all
        self.mix = [1.0 for _ in self.objectives]
        self.demand: dict[int, list[float]] = {}
        self.let_in, self.tries = 1.0, face.ONE_AFTER_PROOF  # the part of all that comes
        self.knee = 0.0  # the most that was answered a second without strain, fading
        # Answered, of the tries that come and come again for having errored. One that starts amid a jam and
        # has heard nothing yet takes the worst for granted, so that it pushes no cold server over.
        self.crowding = 1 / facts.tip_multiple
        self.strain_from, self.next_control = now, now + self.control_every
        self.valve_mark, self.valve_owed = 0, {}  # proxies that have not yet answered for the last levels
        self.valves_wanted = [(self.all_in, self.tries) for _ in self.objectives]
        self.valve: list[tuple | None] = [None for _ in self.objectives]  # present: level and tries
        self.spent: deque[float] = deque()  # withdrawals of late
        self.next_solve = now + SOLVE_EVERY
        self.next_urgent = LONG_AGO
        self.next_ask = now if self.asks else None
        self.next_tick = now
        self.first_list = True
        self.orders: list = []

    # ---- what is heard

    def handle(self, now: float, events: list) -> list:
        self.now = now
        self.orders = []
        for event in events:
            hear = HEAR.get(type(event))
            if hear:
                hear(self, event)
        if self.next_ask is not None and now >= self.next_ask:
            # An ask that fails or goes unanswered is made again, each instance at its own moment.
            self.orders.append(face.Subscribe(True))
            self.next_ask = now + self.ask_again * self.random.uniform(2, 3)
        if now >= self.next_tick:
            self.next_tick = now + self.tick
            self.orders.append(face.SetTimer(0, self.next_tick))
            self._judge()
            if now >= self.next_control:
                self._control()
            if now >= self.next_solve:
                self.next_solve = now + SOLVE_EVERY
                self._solve()
        self._reconcile()
        return self.orders

    def _hear_listing(self, listing: face.Listing) -> None:
        if listing.kind == face.FAILED:
            self.next_ask = self.now + self.ask_again * self.random.uniform(0.2, 1)
            return
        if listing.kind != face.CACHED:
            self.next_ask = None  # a subscription's answer, or its changes
        if listing.kind != face.DELTA:
            named = {entry.server for entry in listing.entries}
            for server, i in self.place.items():
                if server not in named:
                    self.state[i] = face.GONE
        for entry in listing.entries:
            self._list(entry)
        self.first_list = False

    def _list(self, entry) -> None:
        started = LONG_AGO if entry.started is None else entry.started
        new = entry.server not in self.place
        if new:
            self.kind.append(entry.kind)
            self.place[entry.server] = len(self.ids)
            self.ids.append(entry.server)
            for array, value in (
                (self.state, face.GONE), (self.started, started), (self.listed, 1.0), (self.factor, 1.0),
                (self.entered, LONG_AGO), (self.out_at, None), (self.line, 0.0), (self.shut, False),
            ):  # fmt: skip
                array.append(value)
            self.met.append([0.0, 0.0, 0.0])
            self.strain.append([0.0, 0.0, 0.0])
            for zone in range(len(self.reports)):
                self.reports[zone].append(deque())
                self.baseline[zone].append(None)
                self.since[zone].append(None)
                self.renewed[zone].append(LONG_AGO)
                self.view[zone].append((LONG_AGO, 0.0, 0.0))
        i = self.place[entry.server]
        if entry.state == face.READY and (self.state[i] != face.READY or started > self.started[i]):
            self._enter(i, LONG_AGO if self.first_list else self.now)
            if (started > self.started[i] or new) and not self.first_list:
                # One that starts now begins with what its kind has learnt, not with an average part.
                alike = (entry.kind, face.READY)
                kin = [k for k, kind in enumerate(self.kind) if k != i and (kind, self.state[k]) == alike]
                self.factor[i] = weighted_median([(self.factor[k], 1) for k in kin]) or 1.0
        self.state[i], self.started[i] = entry.state, max(started, self.started[i])
        if self.weighs and entry.weight > 0:
            self.listed[i] = entry.weight

    def _enter(self, i: int, at: float) -> None:
        """A new, restarted or returned server begins its steps with nothing held against it."""
        self.entered[i], self.out_at[i] = at, None
        for zone in range(len(self.reports)):
            self.reports[zone][i].clear()
            self.since[zone][i] = None

    def _hear_joined(self, joined: face.Joined) -> None:
        self._hear_left(joined)
        self.sent_at[joined.proxy] = deque()
        self.unbound[joined.proxy] = None

    def _hear_left(self, left: face.Left) -> None:
        """A proxy that has left is owed nothing and owes no answer."""
        for known in (self.sent_at, self.unbound, self.unanswered, self.valve_owed, self.demand):
            known.pop(left.proxy, None)

    def _hear_applied(self, applied: face.Applied) -> None:
        # Messages leave in order: what was ordered before this mark waits no more.
        if any(mark == applied.mark for mark, _, _ in self.channel):
            while self.channel[0][0] != applied.mark:
                self.channel.popleft()
        if self.unanswered.get(applied.proxy) == applied.mark:
            del self.unanswered[applied.proxy]
            if not self.unanswered:
                self.channel.clear()
        ahead = (applied.mark - self.valve_mark) % MARKS
        if applied.proxy in self.valve_owed and ahead < MARKS_AHEAD:
            del self.valve_owed[applied.proxy]
            if not self.valve_owed:
                self._look_afresh()  # what is heard from now on tells of the levels in force

    def _hear_heard(self, heard: face.Heard) -> None:
        i = self.place.get(heard.server)
        if i is None or not heard.tries or heard.zone >= len(self.reports):
            return
        self.zone_heard[heard.zone] = self.now
        good = heard.tries - min(heard.errored, heard.tries)
        took = good * (heard.latency or 0.0) + (heard.tries - good) * self._objective()
        self.met[i][0] += heard.tries
        self.met[i][1] += good
        self.met[i][2] += took
        self.strain[i][0] += heard.tries
        self.strain[i][1] += good
        self.strain[i][2] += took
        reports = self.reports[heard.zone][i]
        reports.append((self.now, heard.tries, heard.tries - good, heard.latency))
        while reports[0][0] < self.now - VIEW:
            reports.popleft()
        self._complain(heard.zone, i, reports)

    def _complain(self, zone: int, i: int, reports: deque) -> None:
        tries = sum(report[1] for report in reports)
        if tries < TRIES_TO_JUDGE:
            return
        erred = sum(report[2] for report in reports) / tries
        median = weighted_median([(report[3], report[1] - report[2]) for report in reports if report[3]])
        usual = self.baseline[zone][i]
        slow = median / usual if median is not None and usual else 0.0
        self.view[zone][i] = (self.now, slow, erred)
        # Guards against naming the noisiest in a fleet-wide trouble (overload, a slow thing behind all): what
        # a zone meets at most of its servers names none. It would miss half of a fleet that fails together.
        views = [view for view in self.view[zone] if view[0] > self.now - VIEW]
        fleet_slow = max(1.0, weighted_median([(view[1], 1) for view in views]))
        fleet_erred = weighted_median([(view[2], 1) for view in views])
        late = median is not None and median > SLOW_OVER * self._objective()
        errs = erred > max(ERRED_SHARE, SLOW_TIMES * fleet_erred)
        if (late and slow > SLOW_TIMES * fleet_slow) or errs:
            if self.since[zone][i] is None:
                self.since[zone][i] = self.now
            self.renewed[zone][i] = self.now
            return
        self.since[zone][i] = None
        if median is not None and slow <= SLOW_TIMES and erred <= ERRED_SHARE:
            # While it is slow or errs the baseline stays: a lasting slowness never becomes usual.
            share = min(1.0, self.tick / BASELINE_OVER)
            self.baseline[zone][i] = median if usual is None else usual + share * (median - usual)

    def _hear_demand(self, demand: face.Demand) -> None:
        if demand.proxy in self.sent_at and demand.window > 0 and demand.operation < len(self.mix):
            rates = self.demand.setdefault(demand.proxy, [0.0 for _ in self.mix])
            rates[demand.operation] += (demand.arrived / demand.window - rates[demand.operation]) / 2
            self.mix[demand.operation] = 0.99 * self.mix[demand.operation] + 0.01 * demand.arrived

    def _objective(self) -> float:
        """The latency objective of the mean invocation."""
        return sum(a * b for a, b in zip(self.objectives, self.mix, strict=True)) / sum(self.mix)

    # ---- what is wanted

    def _warm(self, i: int) -> bool:
        return self.state[i] == face.READY and self.now - self.started[i] >= self.warm_within

    def _judge(self) -> None:
        """The design's withdrawals and returns."""
        ready = [i for i in range(len(self.ids)) if self.state[i] == face.READY]
        for i in ready:
            if self.out_at[i] is not None and self.now - self.out_at[i] >= OUT_FOR:
                self._enter(i, self.now)
        while self.spent and self.spent[0] <= self.now - BUDGET_SPAN:
            self.spent.popleft()
        zones = [zone for zone, at in enumerate(self.zone_heard) if at > self.now - LAPSE]
        enough = min(ZONES_TO_AGREE, len(zones))
        named = []
        for i in ready:
            naming = [zone for zone in zones if self._names(zone, i)] if self.out_at[i] is None else []
            if enough and len(naming) >= enough:
                named.append((min(self.since[zone][i] for zone in naming), i))
        for _, i in sorted(named):  # the longest complained of first
            out = sum(self.out_at[k] is not None for k in ready)
            if out + 1 > min(MOST_OUT, int(len(ready) * MOST_OUT_SHARE)) or len(self.spent) >= BUDGET:
                return
            if not any(self._warm(k) and self.out_at[k] is None for k in ready if k != i):
                continue
            self.out_at[i] = self.now
            self.spent.append(self.now)
            said = "; ".join(f"{slow:.1f} x usual, {erred:.0%} erred" for _, slow, erred in self._views_of(i))
            self.orders.append(face.Log(f"withdrawn {self.ids[i].hex()}, {out} were out: {said}"))

    def _views_of(self, i: int) -> list[tuple[float, float, float]]:
        return [view[i] for view in self.view if view[i][0] > self.now - LAPSE]

    def _names(self, zone: int, i: int) -> bool:
        since = self.since[zone][i]
        if since is not None and self.renewed[zone][i] < self.now - LAPSE:
            self.since[zone][i] = since = None
        # Guards against a server that answers next to nothing and holds what it takes until clients give
        # up: it needs less patience than a late one. Not under strain, when weak servers look dead.
        dead = self.view[zone][i][2] >= DEAD_SHARE and self.tries != face.NO_TRY
        lasting = LASTING / 2 if dead else LASTING
        return since is not None and self.now - since >= lasting

    def _solve(self) -> None:
        """The companion: each weight one step toward equal latency."""
        # Guards against a server that keeps or draws work by failing: an errored try adds a whole objective
        # to what the answered ones took. It also turns work from a weak server whose answers come too late.
        latency = {
            i: total / max(1.0, good)
            for i, (tries, good, total) in enumerate(self.met)
            if tries >= TRIES_TO_JUDGE and total > 0
        }
        self.met = [[part * KEPT for part in row] for row in self.met]
        open_ones = [i for i in latency if self.state[i] == face.READY and self.out_at[i] is None]
        if not open_ones:
            return
        median = weighted_median([(latency[i], 1) for i in open_ones])
        for i in open_ones:
            step = min(1 + SOLVE_STEP, max(1 - SOLVE_STEP, (median / latency[i]) ** DAMPED))
            self.factor[i] = min(MOST_FACTOR, max(LEAST_FACTOR, self.factor[i] ** (1 - self.leak) * step))

    def _control(self) -> None:
        """Guards against a fleet that is asked for more than it can do, or is jammed by what it repeats.

        The median server tells, an errored try counting as one that took its whole objective, so that single
        sick servers move nothing. It also answers a slow thing behind all servers, and harms where that would
        pass by itself. With few servers left it is what keeps the cold ones from being pushed over.
        """
        took = weighted_median([(total / tries, tries) for tries, _, total in self.strain if tries])
        tries, good = sum(row[0] for row in self.strain), sum(row[1] for row in self.strain)
        span, come = self.now - self.strain_from, max(1.0, sum(map(sum, self.demand.values())))
        self._look_afresh()
        if took is None:
            return  # silence is neither strain nor ease
        pressure = took / (STRAINED * self._objective())
        self.knee = max(self.knee * FADE, good / span if pressure * EASED <= 1 else 0.0)
        self.crowding = good / (2 * tries - good)
        if self.valve_owed:
            return  # the last levels are still under way
        if pressure > 1:
            # Cutting tries is known not to help where hardly any are made beyond the first.
            spare = self.tries != face.NO_TRY and tries / span > (1 + SPARE_TRIES) * come
            self.tries = face.NO_TRY
            if not spare and self.levels_by != "off":
                # What a strained fleet answers is what it can do: let in a little less, in few large steps.
                # In a jam it answers less than it could, so what it did before bounds the cut.
                bearable = max(HEADROOM * good / span, DRAINING * self.knee) / come
                self.let_in = min(self.let_in, max(self.let_in * LARGEST_CUT, bearable, LEAST_LET_IN))
        elif pressure < EASED and self.let_in < 1:
            rise = max(self.let_in * EASED / max(pressure, EASED / LARGEST_RISE), RESUMED * self.knee / come)
            self.let_in = min(1.0, rise)
        elif pressure < EASED:
            self.tries = face.ONE_AFTER_PROOF
        # Only now: levels that follow every swing of demand would be under way for ever, and never judged.
        self.valves_wanted = self._wanted_valves()

    def _look_afresh(self) -> None:
        self.strain = [[0.0, 0.0, 0.0] for _ in self.ids]
        self.strain_from, self.next_control = self.now, self.now + self.control_every

    def _wanted_valves(self) -> list[tuple[float, int]]:
        valves = []
        rates = [sorted(rates[k] for rates in self.demand.values()) for k in range(len(self.cheap))]
        cheap = sum(sum(rates[k]) for k, is_cheap in enumerate(self.cheap) if is_cheap) or 1.0
        dear = sum(map(sum, rates)) - cheap
        cheap_part = max(LEAST_LET_IN, (self.let_in * (cheap + dear) - dear) / cheap)
        dear_part = (self.let_in * (cheap + dear) - cheap_part * cheap) / dear if dear > 0 else 1.0
        for k, is_cheap in enumerate(self.cheap):
            part = min(1.0, cheap_part if is_cheap else max(LEAST_LET_IN, dear_part))
            level = self.all_in
            if self.let_in < 1 and part < 1:
                level = part if self.levels_by == "share" else fair_rate(rates[k], part)
            valves.append((level, self.tries))
        return valves

    def _wanted_lines(self) -> list[float]:
        """The weight that each server's line should have now; 0 for no line."""
        ready = [i for i in range(len(self.ids)) if self.state[i] == face.READY]
        wanted = [0.0] * len(self.ids)
        whole = sum(self.listed[i] for i in ready)
        steps = [min(99.0, (self.now - entered) // ENTRY_STEP) for entered in self.entered]
        entry = whole / max(1, len(ready)) * ENTRY_PART
        done = [ENTRY_PART * 2**step >= 1 for step in steps]
        settled = sum(self.listed[i] for i in ready if done[i] and self.out_at[i] is None)
        for i in ready:
            weight = self.listed[i] * self.factor[i]
            # Steps presume others that carry the rest. With most of the fleet still entering they would push
            # over the few that are in, so then only what is sure of a cold one's capacity holds it back.
            if settled >= whole / 2:
                weight = min(weight, entry * 2 ** steps[i])
            wanted[i] = weight
        # Guards against queues at a server that is half warm: no more than it is sure to do by now.
        cold, full = {}, sum(self.listed[i] * self.factor[i] for i in ready)
        for i in ready:
            age = (self.now - self.started[i]) // ENTRY_STEP * ENTRY_STEP
            if age < self.warm_within:
                grown = self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within
                wanted[i] = min(wanted[i], self.listed[i] * grown)
                cold[i] = grown * self.spare * self.crowding * self.listed[i] * self.factor[i] / full
        # Guards against pushing a cold server over: however much comes and however the rest is, its
        # share of all tries stays within what it bears. Warm ones take the rest, as they do not fall. Harm:
        # in a deep overload servers idle while they warm.
        warm = sum(wanted[i] for i in ready if i not in cold and self.out_at[i] is None)
        if warm and sum(cold.values()) < 1:
            for i, share in cold.items():
                wanted[i] = min(wanted[i], share * warm / (1 - sum(cold.values())))
        return wanted

    def _wanted_out(self) -> list[bool]:
        out = [at is not None and self.state[i] == face.READY for i, at in enumerate(self.out_at)]
        # Guards against a table without a server: with no other warm one, nobody is withdrawn for health.
        if any(out) and not any(self._warm(i) and not out[i] for i in range(len(out))):
            return [False] * len(out)
        return out

    # ---- from what is to what should be

    def _reconcile(self) -> None:
        lines, out = self._wanted_lines(), self._wanted_out()
        proxies = len(self.sent_at) - len(self.unbound)
        while self.channel and self.now - self.channel[0][2] > self.patience:
            self.channel.popleft()  # a lost answer must not stall the rest
            kept = {mark for mark, _, _ in self.channel}
            self.unanswered = {p: mark for p, mark in self.unanswered.items() if mark in kept}
            self.valve_owed = {}
        free = not self.unanswered
        urgent, ordinary = [], []
        for i, weight in enumerate(lines):
            present = self.line[i]
            restarted = self.entered[i] == self.now or self.now - self.started[i] < self.warm_within
            if present and (not weight or (restarted and weight < present * (1 - SOLVE_STEP))):
                urgent.append(face.SetLine(self.ids[i], weight, TABLE))
            elif weight and (not present or abs(weight - present) >= WORTH_SENDING * present):
                ordinary.append(face.SetLine(self.ids[i], weight, TABLE))
            if out[i] != self.shut[i]:
                ordinary.append(face.Withdraw(out[i], self.ids[i]))
        if any(not line.weight for line in urgent) and all(
            not self.line[i] or not lines[i] or out[i] for i in range(len(lines))
        ):
            # Guards against a moment without a server: what replaces the last lines goes with their end.
            urgent, ordinary = ordinary + urgent, []
        for k, (level, tries) in enumerate(self.valves_wanted):
            present, how = self.valve[k] or (0.0, None)
            if how != tries or abs(level - present) >= WORTH_SENDING * present:
                ordinary.append(face.SetLevel(TABLE, level, 1 << k, tries))
        go: list = []
        if not proxies:
            go = ordinary + urgent  # nobody is told, so it costs nothing
        else:
            if urgent and self.now >= self.next_urgent and self._room(proxies, len(urgent), 1.0):
                go += urgent
                self.next_urgent = self.now + self.gap
            ordinary = ordinary[: max(1, int(self.round_lines / proxies - self.head))]
            if ordinary and free and self._room(proxies, len(go) + len(ordinary), ORDINARY_SHARE):
                go = ordinary + go
        for order in go:
            self._take(order)
        bound = [proxy for proxy in self.sent_at if proxy not in self.unbound] if go else []
        messages = {proxy: len(go) + self.head for proxy in bound}
        size = 1 + sum(map(bool, self.line)) + sum(self.shut) + len(self.valve)
        for proxy in list(self.unbound):
            if self._waiting() + sum(messages.values()) + size + self.head > self.cap:
                break
            go.append(face.UseTable(0, TABLE, proxy))
            del self.unbound[proxy]
            messages[proxy] = size + self.head
        if messages:
            self.marks = self.marks % MARKS + 1
            go.append(face.Mark(False, self.marks))
            if any(isinstance(order, face.SetLevel) for order in go):
                self.valve_mark, self.valve_owed = self.marks, dict.fromkeys(messages)
            self.channel.append((self.marks, sum(messages.values()), self.now))
            for proxy in messages:
                self.unanswered[proxy] = self.marks
                self.sent_at[proxy].append(self.now)
        self.orders += go

    def _take(self, order) -> None:
        """An order that goes out is the present state from now on."""
        if isinstance(order, face.SetLine):
            self.line[self.place[order.server]] = order.weight
        elif isinstance(order, face.Withdraw):
            self.shut[self.place[order.server]] = order.on
        else:
            self.valve[order.operations.bit_length() - 1] = (order.level, order.tries)

    def _waiting(self) -> float:
        return sum(lines for _, lines, _ in self.channel)

    def _room(self, proxies: int, lines: int, share: float) -> bool:
        """Whether a message of so many lines to each proxy keeps the channel's and every proxy's cap."""
        if self._waiting() + proxies * (lines + self.head) > self.cap * share:
            return False
        for sent in self.sent_at.values():
            while sent and sent[0] <= self.now - self.message_span:
                sent.popleft()
            if self.message_cap and len(sent) >= self.message_cap * share - 1:
                return False
        return True


def weighted_median(pairs: list[tuple[float, float]]) -> float | None:
    """The value at which half of the weight is reached."""
    pairs = sorted(pair for pair in pairs if pair[1] > 0)
    half = sum(weight for _, weight in pairs) / 2
    for value, weight in pairs:
        half -= weight
        if half <= 0:
            return value
    return None


def fair_rate(rates: list[float], part: float) -> float:
    """The rate that lets this part of all in when no proxy may have more; the rates come in rising order."""
    left = part * sum(rates)
    for k, rate in enumerate(rates):
        if rate * (len(rates) - k) >= left:
            return left / (len(rates) - k)
        left -= rate
    return rates[-1] if rates else 0.0


HEAR = {
    face.Listing: Brain._hear_listing,
    face.Joined: Brain._hear_joined,
    face.Left: Brain._hear_left,
    face.Applied: Brain._hear_applied,
    face.Heard: Brain._hear_heard,
    face.Demand: Brain._hear_demand,
}
