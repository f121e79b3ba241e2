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
ANYWHERE = -1  # the zone of the one part of a small fleet
NOBODY = -1  # the part of a server without a line

# The design's values. Spans are seconds.
SLOW_TIMES = 2.0  # what a zone complains of
ERRED_SHARE = 0.10  # what a zone complains of
LASTING = 6.0  # a complaint counts from this long after it was first heard
LAPSE = 15.0  # a complaint counts until this long after it was last heard
ZONES_TO_AGREE = 2
MOST_OUT = 2
MOST_OUT_SHARE = 1 / 3
BUDGET = 5  # withdrawals
BUDGET_SPAN = 30.0
OUT_FOR = 10.0
ENTRY_PART = 0.1  # of the average weight
ENTRY_STEP = 2.0  # the weight doubles every step
STEPS_IN = 4  # whole after so many steps
SOLVE_EVERY = 3.0
SOLVE_STEP = 0.2
LEAST_FACTOR = 0.5
MOST_FACTOR = 2.0
WORTH_SENDING = 0.1  # of the weight that stands

# Ours.
SPARED = 2 / 3  # of the tip multiple: what a cold server may be asked for
STAYS = 1 / 2  # of the weight that a part should have: with less left of it, its other changes are as urgent
DAMPED = 1 / 3  # power of the latency ratio in a step: most of a latency is queueing, which answers late
LEAK = 1 / 3  # a solve's step back toward the start, as a power, where weights are listed
KEPT = 1 / 2  # of what was met, from one solve to the next
VIEW = LASTING / 2  # a zone's median is over the reports of this long
STRAINED = 2 / 5  # the median server takes more than this of the objective: strain
EASED = 2 / 3  # of that: no strain
LONGER = 1.5  # or more than this much of the least it took; of the time at the best part
BUSY = 0.85  # share of a server's cores in use
HEADROOM = 0.9  # what is let in at the most, of what is answered
LEAST_LET_IN = 0.1  # what is let in at the least, of all
LARGEST_CUT = 0.6  # of what is let in, at a time
LARGEST_RISE = 1.2  # of what is let in, at a time
FADE = 0.97  # of the best that was seen, from look to look
SPARE_TRIES = 0.05  # beyond the first, of what comes
CHEAP_WITHIN = 2.0  # operations whose value per unit of work is within this of the least are cut together
MARKS = 65534  # as many numbers as marks have
DEAD_SHARE = 0.9  # of the tries err: complaints of it count in half the time
TRIES_TO_JUDGE = 5  # with fewer in its view a zone says nothing
BASELINE_OVER = 2 * LAPSE  # how slowly a zone's baseline learns
ORDINARY_SHARE = 1 / 2  # of the message cap and of the lines sent within a grace; the rest is for the urgent
PART_LINES = 2  # standing tables' lines in a part
PROXIES_A_PART = 5  # proxies that share a part at the least
CONNECTIONS = 1 / 7  # of what servers accept, as they slow down while filling: proxies with lines to one
NEAR = 4.0  # what a part of the own zone counts for
UNEVEN = 0.2  # beyond its due a part gives proxies away
BALANCING = 4  # rounds that bring what zones bring to the parts in line with their weight


class Brain:
    def __init__(self, facts: face.StartFacts, seed: int, now: float) -> None:
        self.random = Random(seed)
        self.now = now
        self.ask_again = facts.ask_within / 8
        self.weighs = facts.listed_weights != "off"
        self.cold_share = facts.cold_share
        self.warm_within = facts.warm_within
        self.spare = facts.tip_multiple * SPARED
        self.cap = facts.queue_cap
        self.by_two = facts.pick == "two"
        self.head = facts.lines_per_message + 1  # and the mark
        self.round_lines = ORDINARY_SHARE * min(self.cap, facts.lines_per_second * facts.drain_grace)
        self.message_cap = facts.message_cap
        self.message_span = facts.message_span
        self.gap = facts.message_span / facts.message_cap if facts.message_cap else facts.drain_grace / 10
        self.patience = 4 * facts.worst_transit + 8 * facts.queue_cap / facts.lines_per_second
        self.tick = facts.report_period / 2
        self.learns = facts.report_period / 2 / BASELINE_OVER
        self.objectives = [operation.latency_objective for operation in facts.operations]
        value = [operation.billed_value / operation.latency_objective for operation in facts.operations]
        self.cheap = [each < CHEAP_WITHIN * min(value) for each in value]
        self.levels_by = facts.level_form
        self.all_in = 1.0 if self.levels_by == "share" else float(2**30)  # a level that stops nothing
        told = facts.load_fields if facts.load_reports_come == "inline" else ()
        self.tells_busy = told.index("utilisation") if "utilisation" in told else None
        self.control_every = facts.report_period * ceil(1 + facts.worst_transit / facts.report_period)
        self.part_lines = PART_LINES * max(1, facts.standing_lines)
        self.room_for_lines = CONNECTIONS * (facts.least_connections or 0.0) / max(1, facts.proxies)
        self.most_parts = facts.proxies / max(1, facts.supervisors) / PROXIES_A_PART
        # Guards against steering all to the fastest while nobody is busy: their latency does not answer until
        # they are swamped. Listed weights say what is due; where there are none, what was learnt stays.
        self.leak = LEAK if self.weighs else 0.0
        zones = range(len(facts.zones))
        # Servers: parallel arrays under a dense index. Factor: learnt, beside the listed weight; out_at: out
        # for health since; met: tries, good ones, time of all, fading from solve to solve; strain: the same
        # since the last look, good ones' time alone; line, shut: present weight, present withdrawal.
        self.place = {}  # by id
        self.gone = {}  # the places of those that are gone, the longest gone first
        self.array = [[] for _ in range(14)]
        self.ids = self.array[0]
        self.kind = self.array[1]
        self.state = self.array[2]
        self.started = self.array[3]
        self.entered = self.array[4]
        self.out_at = self.array[5]
        self.listed = self.array[6]
        self.factor = self.array[7]
        self.met = self.array[8]
        self.strain = self.array[9]
        self.busy = self.array[10]
        self.part = self.array[11]
        self.line = self.array[12]
        self.shut = self.array[13]
        # What each zone says of each server; view: judged when, times the usual, erred share.
        self.says = [[[] for _ in zones] for _ in range(5)]
        self.reports = self.says[0]
        self.baseline = self.says[1]
        self.since = self.says[2]
        self.renewed = self.says[3]
        self.view = self.says[4]
        # The views of the last while, oldest first, and the medians of what they say: kept up to date as
        # they come and lapse, so that a report costs the same in a fleet of any size.
        self.fresh: list[OrderedDict[int, tuple]] = [OrderedDict() for _ in zones]
        self.usual_slow = [RunningMedian() for _ in zones]
        self.usual_erred = [RunningMedian() for _ in zones]
        # Parts: the zone of the servers of each, what each zone met there (as in met), withdrawals of late.
        self.part_zone = []
        self.bears = {}
        self.fleeing = set()
        self.seen = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.spent = defaultdict(deque)
        # Proxies: zone, what comes, when written to and joined, the part it should hold and does hold, the
        # mark that it has yet to answer; and the channel: mark, lines, when.
        self.home = {}
        self.demand = {}
        self.rate = {}
        self.sent_at = {}
        self.joined_at = {}
        self.due_part = {}
        self.held_part = {}
        self.unanswered = {}
        self.channel = deque()
        self.marks = 0
        self.levels_under_way = False
        self.first_list = True
        self.mix = [1.0 for _ in self.objectives]
        self.let_in = 1.0  # the part of all that comes
        self.tries = face.ONE_AFTER_PROOF
        # The least that the median server took, rising slowly; the most that a unit of weight answered,
        # fading; that against the tries that come and come again: the worst, for one that starts blind.
        self.floor = float("inf")
        self.unit = 0.0
        self.crowding = facts.tip_multiple**-2
        self.strain_from = now
        self.next_control = now + self.control_every
        self.valves_wanted = [(self.all_in, self.tries) for _ in self.objectives]
        self.valve: dict[tuple[int, int], tuple] = {}  # present, by part and operation: level and tries
        self.next_ask = None if facts.list_is_pushed else now
        self.next_tick = now
        self.next_deal = now
        self.next_solve = now + SOLVE_EVERY
        self.next_urgent = LONG_AGO

    def handle(self, now: float, events: list) -> list:
        self.now = now
        self.orders = []
        for event in events:
            getattr(self, f"_hear_{type(event).__name__.lower()}", lambda _: None)(event)
        if self.next_ask is not None and now >= self.next_ask:  # again until answered, each at its own moment
            self.orders.append(face.Subscribe(True))
            self.next_ask = now + self.ask_again * self.random.uniform(2, 3)
        if self.levels_under_way and not self.unanswered:
            self.levels_under_way = False
            self._look_afresh()  # what is heard from now on tells of the levels in force
        if now >= self.next_tick:
            self.next_tick = now + self.tick
            self.orders.append(face.SetTimer(0, self.next_tick))
            self._judge()
            if now >= self.next_control:
                self._control()
            if now >= self.next_solve:
                self.next_solve = now + SOLVE_EVERY
                self._solve()
        lines, out = self._wanted_lines(), self._wanted_out()
        self._deal(lines, out)
        self._reconcile(lines, out)
        return self.orders

    def _hear_listing(self, listing: face.Listing) -> None:
        if listing.kind == face.FAILED:
            self.next_ask = self.now + self.ask_again * self.random.uniform(0.2, 1)
            return
        if listing.kind != face.CACHED:
            self.next_ask = None  # a subscription's answer, or its changes
        if listing.kind != face.DELTA:
            named = {entry.server for entry in listing.entries}
            for i in [i for server, i in self.place.items() if server not in named]:
                self.state[i] = face.GONE
                self.gone.setdefault(i)
        if self.first_list:
            self._divide([entry for entry in listing.entries if entry.state == face.READY])
        # Of each part: its servers by kind, and their weight; kept as the entries are gone through.
        self.tally = [(defaultdict(int), [0.0]) for _ in self.part_zone]
        for i in range(len(self.ids)):
            self._count(i, 1)
        for entry in listing.entries:
            if entry.server in self.place or entry.state != face.GONE:
                self._list(entry)
        self.first_list &= face.READY not in self.state  # with nobody ready it tells nothing of the fleet

    def _divide(self, ready: list) -> None:
        """The parts of the shared table. Guards against a whole one that no proxy can be sent in time: a line
        to every server at every proxy costs connections, lines and messages by the product of both."""
        shorter = max(self.part_lines / PART_LINES, self.room_for_lines * len(ready))
        fits = max(min(self.part_lines, shorter), len(ready) / max(1.0, self.most_parts))
        counts = [sum(entry.zone == zone for entry in ready) for zone in range(len(self.reports))]
        if len(ready) >= max(fits, self.part_lines) * max(2, sum(map(bool, counts))):
            self.part_zone = [z for z, n in enumerate(counts) for _ in range(max(n > 0, int(n / fits)))]
        else:
            self.part_zone = [ANYWHERE]

    def _list(self, entry) -> None:
        started = LONG_AGO if entry.started is None else entry.started
        if new := entry.server not in self.place:
            self._seat(entry)
        i = self.place[entry.server]
        self._count(i, -1)
        if not self.line[i] and not self.shut[i]:
            self.part[i] = self._part_for(entry)
        if entry.state == face.READY and (self.state[i] != face.READY or started > self.started[i]):
            self._enter(i, LONG_AGO if self.first_list else self.now)
            if (started > self.started[i] or new) and not self.first_list:
                # One that starts now begins with what its kind has learnt, not with an average part.
                kin = [k for servers in self._members() for k in servers if self.kind[k] == entry.kind]
                self.factor[i] = median([self.factor[k] for k in kin if k != i]) or 1.0
        self.state[i] = entry.state
        self.started[i] = max(started, self.started[i])
        self.gone.setdefault(i) if entry.state == face.GONE else self.gone.pop(i, None)
        if self.weighs and entry.weight > 0:
            self.listed[i] = entry.weight
        self._count(i, 1)

    def _seat(self, entry: face.Entry) -> None:
        """A new server's place. Guards against growth with each ever listed: once they outnumber the rest the
        longest gone is forgotten. Its late reports go by its id, so the new one is not credited with them."""
        many = 2 * len(self.gone) > len(self.ids)
        free = (k for k in self.gone if many and not self.line[k] and not self.shut[k])
        i = next(free, len(self.ids))
        if i < len(self.ids):
            del self.place[self.ids[i]], self.gone[i]
        self.place[entry.server] = i
        blank = entry.server, entry.kind, face.GONE, LONG_AGO, LONG_AGO, None, 1.0, 1.0, [0.0] * 3, [0.0] * 3
        for array, value in zip(self.array, (*blank, None, 0, 0.0, False), strict=True):
            array[i : i + 1] = [value]
        for zone in range(len(self.reports)):
            self._unsee(zone, i)
            unsaid = deque(), None, None, LONG_AGO, (LONG_AGO, 0.0, 0.0)
            for array, value in zip(self.says, unsaid, strict=True):
                array[zone][i : i + 1] = [value]

    def _count(self, i: int, sign: int) -> None:
        (kinds, weight), sign = self.tally[self.part[i]], sign * int(self.state[i] == face.READY)
        kinds[self.kind[i]] += sign
        weight[0] += sign * self.listed[i]

    def _part_for(self, entry) -> int:
        """The part of its zone with the fewest of its kind, then of least weight."""
        parts = [p for p, zone in enumerate(self.part_zone) if zone == entry.zone] or range(len(self.tally))
        return min(parts, key=lambda p: (self.tally[p][0][entry.kind], self.tally[p][1][0]))

    def _members(self) -> list[list[int]]:
        members: list[list[int]] = [[] for _ in self.part_zone]
        for i, state in enumerate(self.state):
            if state == face.READY:
                members[self.part[i]].append(i)
        return members

    def _enter(self, i: int, at: float) -> None:
        """A new, restarted or returned server begins its steps with nothing held against it."""
        self.entered[i] = at
        self.out_at[i] = None
        for zone in range(len(self.reports)):
            self.reports[zone][i].clear()
            self.since[zone][i] = None

    def _hear_joined(self, joined: face.Joined) -> None:
        self._hear_left(joined)
        self.sent_at[joined.proxy] = deque()
        self.home[joined.proxy] = joined.zone
        self.joined_at[joined.proxy] = self.now
        self.demand[joined.proxy] = [joined.rate * part / sum(self.mix) for part in self.mix]
        self.rate[joined.proxy] = sum(self.demand[joined.proxy])

    def _hear_left(self, left: face.Left) -> None:
        parts = self.due_part, self.held_part, self.unanswered
        for known in (self.sent_at, self.joined_at, self.home, self.demand, self.rate, *parts):
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
        took, lost = good * (heard.latency or 0.0), (heard.tries - good) * self._objective()
        seen = self.seen[heard.zone, self.part[i]]
        for row, time in (self.met[i], took + lost), (seen, took + lost), (self.strain[i], took):
            row[0] += heard.tries
            row[1] += good
            row[2] += time
        if self.tells_busy is not None and heard.load:
            self.busy[i] = heard.load[self.tells_busy]
        self.reports[heard.zone][i].append((self.now, heard.tries, heard.tries - good, heard.latency))
        self._complain(heard.zone, i, self.reports[heard.zone][i])

    def _complain(self, zone: int, i: int, reports: deque) -> None:
        while reports[0][0] < self.now - VIEW:
            reports.popleft()
        tries = sum(report[1] for report in reports)
        if tries < TRIES_TO_JUDGE:
            return
        erred = sum(report[2] for report in reports) / tries
        took = weighted_median([(report[3], report[1] - report[2]) for report in reports if report[3]])
        usual = self.baseline[zone][i]
        slow = took / usual if took is not None and usual else 0.0
        self._see(zone, i, slow, erred)
        # Guards against naming the noisiest in a fleet-wide trouble (overload, a slow thing behind all): what
        # a zone meets at most of its servers names none. It would miss half of a fleet that fails together.
        # In place of the design's 50 ms: a slow server's answers come too late.
        late = took is not None and took > self._objective()
        late = late and slow > SLOW_TIMES * max(1.0, self.usual_slow[zone].value())
        if late or erred > max(ERRED_SHARE, SLOW_TIMES * self.usual_erred[zone].value()):
            lapsed = self.since[zone][i] is None or self.renewed[zone][i] < self.now - LAPSE
            self.since[zone][i] = self.now if lapsed else self.since[zone][i]
            self.renewed[zone][i] = self.now
            return
        self.since[zone][i] = None
        if took is not None and slow <= SLOW_TIMES and erred <= ERRED_SHARE:
            self.baseline[zone][i] = took if usual is None else usual + self.learns * (took - usual)

    def _see(self, zone: int, i: int, slow: float, erred: float) -> None:
        fresh = self.fresh[zone]
        self._unsee(zone, i)
        while fresh and fresh[oldest := next(iter(fresh))][0] <= self.now - VIEW:
            self._unsee(zone, oldest)
        self.usual_slow[zone].swap(None, slow)
        self.usual_erred[zone].swap(None, erred)
        self.view[zone][i] = fresh[i] = self.now, slow, erred

    def _unsee(self, zone: int, i: int) -> None:
        _, slow, erred = self.fresh[zone].pop(i, (None, None, None))
        self.usual_slow[zone].swap(slow, None)
        self.usual_erred[zone].swap(erred, None)

    def _hear_demand(self, demand: face.Demand) -> None:
        if demand.proxy in self.sent_at and demand.window > 0 and demand.operation < len(self.mix):
            rates = self.demand[demand.proxy]
            rates[demand.operation] += (demand.arrived / demand.window - rates[demand.operation]) / 2
            self.rate[demand.proxy] = sum(rates)
            self.mix[demand.operation] = 0.99 * self.mix[demand.operation] + 0.01 * demand.arrived

    def _objective(self) -> float:
        return sum(a * b for a, b in zip(self.objectives, self.mix, strict=True)) / sum(self.mix)

    def _warm(self, i: int) -> bool:
        return self.state[i] == face.READY and self.now - self.started[i] >= self.warm_within

    def _judge(self) -> None:
        """The design's withdrawals and returns."""
        members = self._members()
        ready = [i for servers in members for i in servers]
        for i in ready:
            if self.out_at[i] is not None and self.now - self.out_at[i] >= OUT_FOR:
                self._enter(i, self.now)
        named = []
        for i in ready:
            if self.out_at[i] is None:
                # Its zones are those that have judged it of late: a part may be known to one zone alone.
                zones = [zone for zone, view in enumerate(self.view) if view[i][0] > self.now - LAPSE]
                naming = [zone for zone in zones if self._names(zone, i)]
                if naming and len(naming) >= min(ZONES_TO_AGREE, len(zones)):
                    named.append((min(self.since[zone][i] for zone in naming), i))
        for _, i in sorted(named):  # the longest complained of first
            # A part is what a whole small fleet is: the design's caps hold in each.
            part, spent = members[self.part[i]], self.spent[self.part[i]]
            out = sum(self.out_at[k] is not None for k in part)
            while spent and spent[0] <= self.now - BUDGET_SPAN:
                spent.popleft()
            others = any(self._warm(k) and self.out_at[k] is None for k in part if k != i)
            if out + 1 > min(MOST_OUT, int(len(part) * MOST_OUT_SHARE)) or len(spent) >= BUDGET or not others:
                continue
            self.out_at[i] = self.now
            spent.append(self.now)
            views = [view[i] for view in self.view if view[i][0] > LONG_AGO]
            said = "; ".join(f"{slow:.1f} x usual, {erred:.0%} erred" for _, slow, erred in views)
            self.orders.append(face.Log(f"withdrawn {self.ids[i].hex()}, {out} were out: {said}"))

    def _names(self, zone: int, i: int) -> bool:
        # Guards against a server that answers next to nothing and holds what it takes until clients give
        # up: it needs less patience than a late one. Not under strain, when weak servers look dead.
        dead = self.view[zone][i][2] >= DEAD_SHARE and self.tries != face.NO_TRY
        since, lapsed = self.since[zone][i], self.renewed[zone][i] < self.now - LAPSE
        return since is not None and not lapsed and self.now - since >= LASTING * (1 / 2 if dead else 1)

    def _solve(self) -> None:
        """The companion: each weight one step toward equal latency."""
        # Guards against a server that keeps or draws work by failing: an errored try adds a whole objective.
        # It also turns work from a weak server whose answers come too late.
        enough = {i: row for i, row in enumerate(self.met) if row[0] >= TRIES_TO_JUDGE and row[2] > 0}
        latency = {i: took / max(1.0, good) for i, (_, good, took) in enough.items()}
        for row in [*self.met, *self.seen.values()]:
            row[:] = [part * KEPT for part in row]
        open_ones = [i for i in latency if self.state[i] == face.READY and self.out_at[i] is None]
        usual = median([latency[i] for i in open_ones])
        for i in open_ones:
            step = min(1 + SOLVE_STEP, max(1 - SOLVE_STEP, (usual / latency[i]) ** DAMPED))
            self.factor[i] = min(MOST_FACTOR, max(LEAST_FACTOR, self.factor[i] ** (1 - self.leak) * step))

    def _control(self) -> None:
        """Guards against a fleet that is asked for more than it can do, or is jammed by what it repeats. The
        median server's good answers tell, so that single sick servers, and tries that fail at once, move
        nothing. Harm: a slow thing behind all that would pass by itself."""
        took = weighted_median([(total / good, good) for _, good, total in self.strain if good])
        tries, good = sum(row[0] for row in self.strain), sum(row[1] for row in self.strain)
        # Guards against levels cut since proxies have joined whose tries no report tells of yet.
        known = [r for proxy, r in self.rate.items() if self.joined_at[proxy] <= self.strain_from - VIEW]
        span, come = self.now - self.strain_from, max(1.0, sum(known))
        self._look_afresh()
        if not tries:
            return  # silence is neither strain nor ease
        objective = self._objective()
        took = objective if took is None else took
        # Work that takes long when nobody waits is no strain: what the fleet takes at its best counts too.
        pressure = took / min(2 * STRAINED * objective, max(STRAINED * objective, LONGER * self.floor))
        busy, eased = median([share for share in self.busy if share is not None]), EASED
        if pressure <= 1:
            self.floor = min(took, self.floor / FADE)
        if busy is not None:  # late answers from servers with cores to spare are not for want of servers
            pressure, eased = min(pressure, busy / BUSY), 1.0
        # The best that a unit of weight was seen to answer tells what a cold one bears, also in a jam.
        full = self._full()
        self.unit = max(self.unit * FADE, good / span / (full or 1.0))
        self.crowding = min(1.0, self.unit * full * span / (2 * tries - good))
        if self.levels_under_way:
            return
        if pressure > 1:
            # Cutting tries is known not to help where hardly any are made beyond the first.
            spare = self.tries != face.NO_TRY and tries / span > (1 + SPARE_TRIES) * come
            self.tries = face.NO_TRY
            if not spare and self.levels_by != "off":
                # What a strained fleet answers is what it can do: let in a little less, in few large steps.
                # What comes is known by reports of other moments: a slight strain goes by its own look alone.
                slight = self.let_in * good / tries / pressure**2
                bearable = HEADROOM * max(good / span / come, slight)
                self.let_in = min(self.let_in, max(self.let_in * LARGEST_CUT, bearable, LEAST_LET_IN))
        elif pressure < eased and self.let_in < 1:
            self.let_in = min(1.0, self.let_in * eased / max(pressure, eased / LARGEST_RISE))
        elif pressure < eased:
            self.tries = face.ONE_AFTER_PROOF
        # Only now: levels that follow every swing of demand would be under way for ever, and never judged.
        self.valves_wanted = self._wanted_valves()

    def _full(self) -> float:
        return sum(self.listed[i] * self.factor[i] for servers in self._members() for i in servers)

    def _look_afresh(self) -> None:
        self.strain[:] = [[0.0, 0.0, 0.0] for _ in self.ids]
        self.strain_from = self.now
        self.next_control = self.now + self.control_every

    def _wanted_valves(self) -> list[tuple[float, int]]:
        rates = [sorted(rates[k] for rates in self.demand.values()) for k in range(len(self.cheap))]
        come = sum(map(sum, rates))
        cheap = sum(sum(rates[k]) for k, is_cheap in enumerate(self.cheap) if is_cheap) or 1.0
        cheap_part = max(LEAST_LET_IN, 1 - (1 - self.let_in) * come / cheap)
        dear_part = max(LEAST_LET_IN, (self.let_in * come - cheap_part * cheap) / (come - cheap or 1.0))
        valves = []
        for k, part in enumerate(cheap_part if is_cheap else dear_part for is_cheap in self.cheap):
            level = part if self.levels_by == "share" else fair_rate(rates[k], part)
            valves.append((level if self.let_in < 1 and part < 1 else self.all_in, self.tries))
        return valves

    def _wanted_lines(self) -> list[float]:
        """The weight that each server's line should have now; 0 for no line."""
        wanted = [0.0] * len(self.ids)
        members = self._members()
        ready = [i for servers in members for i in servers]
        entry = sum(self.listed[i] for i in ready) / max(1, len(ready)) * ENTRY_PART
        full, brought = self._full(), [0.0] * len(members)
        for proxy, part in self.due_part.items():
            brought[part] += self.rate[proxy]
        for part, servers in enumerate(members):
            steps = {i: min(99.0, (self.now - self.entered[i]) // ENTRY_STEP) for i in servers}
            settled = sum(self.listed[i] for i in servers if steps[i] >= STEPS_IN and self.out_at[i] is None)
            entering = settled < sum(self.listed[i] for i in servers) / 2
            for i in servers:
                wanted[i] = self.listed[i] * self.factor[i]
                # Steps presume others that carry the rest. With most of the part still entering they would
                # push over the few that are in, so then only what a cold one is sure to bear holds it back.
                if not entering:
                    wanted[i] = min(wanted[i], entry * 2 ** steps[i])
            # Guards against queues at a server that is half warm: no more than it is sure to do by now.
            cold, self.bears[part] = {}, 0.0
            for i in servers:
                age = (self.now - self.started[i]) // ENTRY_STEP * ENTRY_STEP
                if age < self.warm_within:
                    grown = self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_within
                    wanted[i] = min(wanted[i], self.listed[i] * grown)
                    bears = grown * self.spare * self.crowding * self.listed[i] * self.factor[i] / full
                    self.bears[part] += bears
                    share = bears * (sum(brought) / brought[part] if brought[part] else len(brought))
                    # Guards against a cold server that alone answers: of two drawn, proxies take the one with
                    # less out, so among servers that hold what they take it gets what either draw brings.
                    cold[i] = 1 - max(0.0, 1 - share) ** 0.5 if self.by_two else share
            # Guards against pushing a cold server over: however much comes, its share of all tries stays
            # within what it bears; warm ones do not fall. Harm: in a deep overload it idles.
            warm = sum(wanted[i] for i in servers if i not in cold and self.out_at[i] is None)
            self.bears[part] = float("inf") if warm else self.bears[part]
            if warm and sum(cold.values()) < 1:
                for i, share in cold.items():
                    wanted[i] = min(wanted[i], share * warm / (1 - sum(cold.values())))
        return wanted

    def _wanted_out(self) -> list[bool]:
        out = [at is not None and self.state[i] == face.READY for i, at in enumerate(self.out_at)]
        # Guards against a part without a server: with no other warm one, nobody is withdrawn for health.
        safe = {self.part[i] for i in range(len(out)) if self._warm(i) and not out[i]}
        return [shut and self.part[i] in safe for i, shut in enumerate(out)]

    def _deal(self, lines: list[float], out: list[bool]) -> None:
        """Which part each proxy should hold. Guards against a part asked for more than it does, or empty."""
        weight = self.weight = [0.0] * len(self.part_zone)
        for i, line in enumerate(lines):
            weight[self.part[i]] += 0.0 if out[i] else line
        lost = {p for p in self.home if p not in self.due_part or not weight[self.due_part[p]]}
        rate, come = self.rate, sum(self.rate.values())
        # Guards against pushing over a part of cold servers alone: what they do not bear leaves at once.
        left = {part: most * come for part, most in self.bears.items() if most < float("inf")}
        self.fleeing = set()
        bearing = (p for p, part in self.due_part.items() if part in left and p not in lost)
        for proxy in sorted(bearing, key=lambda p: (rate[p], p)):
            left[self.due_part[proxy]] -= rate[proxy]
            if left[self.due_part[proxy]] < 0:
                self.fleeing.add(proxy)
        lost |= self.fleeing
        even = self.now >= self.next_deal and not self.unanswered and len(weight) > 1
        if not any(weight) or not (lost or even):
            return
        self.next_deal = self.now + self.tick if even else self.next_deal
        due = self._due(weight, rate)
        for zone in sorted(set(self.home.values())):
            mine = sorted((p for p, home in self.home.items() if home == zone), key=lambda p: (-rate[p], p))
            over = [-each for each in due[zone]]
            for proxy in set(mine) - lost:
                over[self.due_part[proxy]] += rate[proxy]
            for proxy in mine:
                giver = self.due_part.get(proxy)
                if proxy in lost:
                    filled = (p for p, w in enumerate(weight) if w)
                    taker = min(filled, key=lambda p: over[p] / (due[zone][p] or 1.0))
                else:
                    if not even or rate[proxy] > over[giver] or over[giver] <= UNEVEN * due[zone][giver]:
                        continue
                    taker = over.index(min(over))
                    # Guards against a part that keeps the busiest proxies since no other lacks as much as one
                    # brings: far over its due, it gives one to a part that ends less than half as far over.
                    far = over[giver] / (due[zone][giver] or 1.0)
                    ends = (over[taker] + rate[proxy]) / (due[zone][taker] or 1.0)
                    if ends > 0 and (far <= STAYS or ends >= STAYS * far):
                        continue
                    over[giver] -= rate[proxy]
                self.due_part[proxy] = taker
                over[taker] += rate[proxy]

    def _answers(self, zone: int) -> list[float]:
        """How well each part answers a zone, up to 1; what is not heard of counts as well again. Guards
        against one that a zone reaches badly: a building lost before the list tells, a sick way, trouble of
        our own."""
        rows = [self.seen[zone, part] for part in range(len(self.part_zone))]
        best = min((took / good for _, good, took in rows if good >= TRIES_TO_JUDGE), default=0.0)
        if not best:
            return [1.0 for _ in rows]
        costs = [(took + TRIES_TO_JUDGE * best) / (good + TRIES_TO_JUDGE) for _, good, took in rows]
        return [min(1.0, LONGER * best / cost) ** 2 for cost in costs]

    def _due(self, weight: list[float], rate: dict[int, float]) -> list[list[float]]:
        """What each zone's proxies should bring to each part: in all as the parts weigh, near ones first. A
        zone that none of the own proxies is in is taken to bring what is usual to its own servers."""
        zones = range(len(self.reports))
        come = [sum(each for proxy, each in rate.items() if self.home[proxy] == zone) for zone in zones]
        held = [sum(w for w, at in zip(weight, self.part_zone, strict=True) if at == zone) for zone in zones]
        usual = sum(come) / (sum(h for h, c in zip(held, come, strict=True) if c) or 1.0)
        come = [each or usual * held[zone] for zone, each in enumerate(come)]
        near = [[NEAR if place == zone else 1.0 for place in self.part_zone] for zone in zones]
        rows = [zip(weight, near[zone], self._answers(zone), strict=True) for zone in zones]
        pull = [[w * n * answers for w, n, answers in row] for row in rows]
        for _ in range(BALANCING):
            due = [[come[zone] * each / sum(row) for each in row] for zone, row in enumerate(pull)]
            brought = [sum(column) or 1.0 for column in zip(*due, strict=True)]
            fair = [w / sum(weight) * sum(brought) / b for w, b in zip(weight, brought, strict=True)]
            pull = [[each * f for each, f in zip(row, fair, strict=True)] for row in pull]
        return [[min(each, come[zone] * self.bears[p]) for p, each in enumerate(due[zone])] for zone in zones]

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
            if present and (not weight or (restarted and weight < present * (1 - SOLVE_STEP))):
                urgent.append((weight, *line))
            elif weight and (not present or abs(weight - present) >= WORTH_SENDING * present):
                ordinary.append((-abs(weight - present) / (weight + present), *line))  # the largest first
            if out[i] != self.shut[i]:
                ordinary.append((-1.0, part if present else NOBODY, face.Withdraw(out[i], self.ids[i])))
        stays = [0.0] * len(self.part_zone)
        for part, line, present, gone in zip(self.part, lines, self.line, out, strict=True):
            stays[part] += 0.0 if gone else min(line, present)
        for part in {part for weight, part, _ in urgent if not weight}:
            if stays[part] <= self.weight[part] * STAYS:
                # Guards against a moment without a server, and against cold ones left with the part of the
                # warm ones that end: what replaces most of a table goes with its end.
                urgent = [row for row in ordinary if row[1] == part] + urgent
                ordinary = [row for row in ordinary if row[1] != part]
        for k, (level, tries) in enumerate(self.valves_wanted):
            for part in range(len(self.part_zone)):
                present, how = self.valve.get((part, k), (0.0, None))
                if how != tries or abs(level - present) >= WORTH_SENDING * present:
                    ordinary.append((-1.0, part, face.SetLevel(part, level, 1 << k, tries)))
        users: dict[int, list[int]] = defaultdict(list)
        for proxy in self.home:
            users[self.held_part.get(proxy)].append(proxy)  # under None those that hold tables of others
        go, messages, free = [], {}, not self.unanswered
        if self.now >= self.next_urgent and self._send(urgent, users, messages, self.cap, 1.0, go):
            self.next_urgent = self.now + self.gap
        rows = [row for row in ordinary if free or row[1] not in users]
        self._send(rows, users, messages, self.round_lines, ORDINARY_SHARE, go)
        ours = [0] * len(self.part_zone)
        for part, line, shut in zip(self.part, self.line, self.shut, strict=True):
            ours[part] += bool(line) + shut
        for proxy, part in self.due_part.items():
            held = self.held_part.get(proxy)
            moves = held is not None and self.weight[held] and proxy not in self.fleeing  # the rest must
            if held == part or (moves and not free):
                continue
            size, share = 1 + ours[part] + len(self.objectives) + self.head, ORDINARY_SHARE if moves else 1.0
            waiting = self._waiting() + sum(messages.values())
            most = self.cap * (ORDINARY_SHARE if waiting and held is None else share)  # room for drains
            if waiting + size > most or not self._may_write(proxy, share):
                continue
            go.append(face.UseTable(0, part, proxy))
            self.held_part[proxy] = part
            messages[proxy] = messages.get(proxy, 0) + size
        if messages:
            self.marks = self.marks % MARKS + 1
            go.append(face.Mark(False, self.marks))
            self.levels_under_way |= any(isinstance(order, face.SetLevel) for order in go)
            self.channel.append((self.marks, sum(messages.values()), self.now))
            for proxy in messages:
                self.unanswered[proxy] = self.marks
                self.sent_at[proxy].append(self.now)
        self.orders += go

    def _send(self, rows: list, users: dict, messages: dict, most: float, share: float, go: list) -> bool:
        """Takes the orders that fit, the least key first: so many lines, and this share of the caps."""
        waiting, used, sent, may = self._waiting(), sum(messages.values()), False, {}
        for _, part, order in sorted(rows, key=lambda row: row[0]):
            proxies = users.get(part, []) + users.get(None, []) * isinstance(order, face.Withdraw)
            if part not in may:
                may[part] = all(proxy in messages or self._may_write(proxy, share) for proxy in proxies)
            more = sum(1 if proxy in messages else 1 + self.head for proxy in proxies)
            first = not sent and share < 1  # one line a round goes even if it is more than a round's part
            over = waiting + used + more > self.cap * share or (used + more > most and not first)
            if more and (over or not may[part]):
                continue
            for proxy in proxies:
                messages[proxy] = messages.get(proxy, self.head) + 1
            used, sent = used + more, True
            go.append(order)  # an order that goes out is the present state from now on
            if isinstance(order, face.SetLine):
                self.line[self.place[order.server]] = order.weight
            elif isinstance(order, face.Withdraw):
                self.shut[self.place[order.server]] = order.on
            else:
                self.valve[part, order.operations.bit_length() - 1] = (order.level, order.tries)
        return sent

    def _may_write(self, proxy: int, share: float) -> bool:
        sent = self.sent_at[proxy]
        while sent and sent[0] <= self.now - self.message_span:
            sent.popleft()
        return not self.message_cap or len(sent) < self.message_cap * share - 1

    def _waiting(self) -> float:
        return sum(lines for _, lines, _ in self.channel)
