"""The judge of a fleet in tiers, from what passed on the sockets alone: in each fleet (cells, regions, the whole) one
winner for each epoch, copies that never fall, words that never change and none passed over but of those that are away;
across tiers a version that is settled once, in the whole, and copies settled by nothing else; no act past a lease of
the chain, no proxy with two owners, and no two policies beyond the bound."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import Struct

from driftshed.coordination import agreement
from driftshed.coordination.agreement import Record
from driftshed.coordination.lease import DRIFT
from driftshed.coordination.tiers import HOLDS
from driftshed.core.messages import Changes
from driftshed.day import accord
from driftshed.day.accord import AgreementChecker
from driftshed.day.policies import DELAY_ALLOWANCE_S, judge_changes
from driftshed.day.policies import RULE as POLICIES
from driftshed.day.recorder import CONTROL, ORDER, STORED
from driftshed.day.traffic import Connection, StoreTalk
from driftshed.policy.change import TOPIC, everywhere_within
from driftshed.roster import jute

RULES = (*accord.RULES, POLICIES, "ends")
RUNS_PATH = "/runs"  # where the rig takes them
LATE = 0.3  # seconds that what a supervisor tells the rig may be on its way, on a busy machine
LAST = 1.5  # seconds before the end of a record in which those that live have told the rig
CHANGES = msgspec.json.Decoder(Changes)


class VersionReport(Struct):
    """Which version a supervisor goes by, told while its tables do not hold still."""

    name: str
    incarnation: int
    version: int


VERSION_DECODER = msgspec.json.Decoder(VersionReport)


class Fleets(NamedTuple):
    """Who is in which fleet: `cells` and `regions` by name. `roots`: the path of each fleet, the whole's under ""."""

    regions: dict[str, tuple[str, ...]]  # the names of its cells
    cells: dict[str, tuple[str, ...]]  # the names of its supervisors
    roots: dict[str, str]

    def region_of(self, cell: str) -> str:
        return next(name for name, cells in self.regions.items() if cell in cells)


class Seen(NamedTuple):
    """A record as it was written: when, in seconds of the day, and the store's count of changes (0: not told)."""

    at: float
    mzxid: int
    record: Record


class FleetChecker(AgreementChecker):
    """One fleet of the tiers."""

    def __init__(self, *given: object, said: dict[StoreTalk, list[tuple]], **more: object) -> None:
        """`said`: what was read of talks, for all fleets."""
        self.said = said
        self.read: list[tuple[float, float, Seen]] = []  # records that were read: when, and the store's time of them
        self.seen: list[Seen] = []
        self.words: dict[tuple[int, str], dict[bool, float]] = defaultdict(dict)  # by epoch and name: since when
        self.there: dict[str, list[float]] = defaultdict(list)  # by name: when somebody saw its node, or made it
        self.presence: dict[str, list[tuple[float, bool]]] = defaultdict(list)  # the same by node, and when it was gone
        super().__init__(*given, **more)
        # The store's clock against ours: what is read soonest after it was written is read in no time.
        off = min((at - written for at, written, _ in self.read), default=0.0)
        self.seen += [seen._replace(at=min(at, written + off)) for at, written, seen in self.read]
        self.seen.sort(key=lambda seen: seen.at)
        for node, rows in self.node_events.items():
            self.presence[node] += [(at, False) for at, there in rows if not there]

    def _answers(self, talk: StoreTalk) -> list[tuple]:
        if talk not in self.said:
            self.said[talk] = list(super()._answers(talk))
        return self.said[talk]

    def _read(self, talk: StoreTalk) -> None:
        super()._read(talk)
        folder, records = f"{self.root}/members", f"{self.root}/records/"
        for at, request, result in self._answers(talk):
            path = getattr(request, "path", "")
            if isinstance(request, jute.Create) and path.startswith(f"{folder}/"):
                self._met(path.rpartition("/")[2], at)
            elif isinstance(request, jute.GetChildren) and path == folder:
                for node in result[0]:
                    self._met(node, at)
            elif isinstance(request, jute.GetData) and path.startswith(records):
                self._see(path, at, result[0], result[1])
            elif isinstance(request, jute.SetData | jute.Create) and path.startswith(records):
                self._see(path, at, request.data)
            elif isinstance(request, jute.Multi) and not any(isinstance(each, int) for each in result):
                for part in request.parts:
                    if isinstance(part, jute.Create | jute.SetData) and part.path.startswith(records):
                        self._see(part.path, at, part.data)

    def _met(self, node: str, at: float) -> None:
        self.there[node.partition("~")[0]].append(at)
        self.presence[node].append((at, True))

    def _see(self, path: str, at: float, data: bytes, stat: jute.Stat | None = None) -> None:
        topic, _, node = path.removeprefix(f"{self.root}/records/").partition("/")
        if node:
            ballot = agreement.read_ballot(node, data)
            since = self.words[ballot.epoch, ballot.name]
            since[ballot.assent] = min(at, since.get(ballot.assent, at))
        else:
            record = agreement.read_record(topic, data)
            if stat is None:
                self.seen.append(Seen(at, 0, record))
            else:
                self.read.append((at, stat.mtime / 1000, Seen(at, stat.mzxid, record)))

    def since(self, state: str) -> dict[int, Seen]:
        """By epoch, when its record was first in this state."""
        first: dict[int, Seen] = {}
        for seen in self.seen:
            if seen.record.state == state:
                first.setdefault(seen.record.epoch, seen)
        return first

    def judge_epochs(self) -> None:
        self._judge_epochs()
        last: dict[str, Seen] = {}
        for seen in sorted((each for each in self.seen if each.mzxid), key=lambda each: each.mzxid):
            topic, old = seen.record.topic, last.get(seen.record.topic)
            self.count_check("epochs")
            if old is not None and not agreement.newer(seen.record, old.record):
                was, now = (f"{each.record.state} in epoch {each.record.epoch}" for each in (old, seen))
                self.report_violation("epochs", f"{self.root}: {topic} fell from {was} to {now} at {seen.at:.2f} s")
            last[topic] = seen
        for (epoch, name), said in self.words.items():
            self.count_check("epochs")
            if len(said) > 1:
                self.report_violation("epochs", f"{self.root}: {name} both assented and objected to epoch {epoch}")

    def judge_words(self, timeout: float, state: str) -> None:
        """What was counted as agreed had the word of everyone that it names, but of those that were away for as long as
        it says: nobody saw these there in that time, but for the last moments, of which the counter may not know."""
        for epoch, seen in self.since(state).items():
            waits = getattr(seen.record, "waits", msgspec.UNSET)
            self.count_check("epochs")
            for name in seen.record.needs:
                said = self.words.get((epoch, name), {})
                if said.get(True, accord.NEVER) <= seen.at + accord.TRANSIT_ALLOWANCE_S:
                    continue
                away = isinstance(waits, float | int)
                since, till = seen.at - (waits * (1 - 2 * DRIFT) if away else accord.NEVER), seen.at
                till -= timeout * (1 + DRIFT) + LATE
                met = [at for at in self.there[name] if since + LATE < at < till]
                if not away or met:
                    why = f"it was there at {met[-1]:.2f} s" if met else "it waits for every word"
                    self.report_violation(
                        "epochs",
                        f"{self.root}: epoch {epoch} was {seen.record.state} at {seen.at:.2f} s "
                        f"without the word of {name}; {why}",
                    )


class TiersJudge:
    """`owner`: the number of the supervisor that an address leads to, `names[number]` its name. `ends`: the record goes
    on until the faults are over and all should have settled."""

    def __init__(
        self,
        verdict,
        kinds: dict[str, list],
        fleets: Fleets,
        names: list[str],
        owner: Callable[[str], int],
        timeout: float,
        ahead: float,
        ends: bool = True,
    ) -> None:
        self.verdict, self.kinds, self.fleets, self.names, self.owner = verdict, kinds, fleets, names, owner
        self.timeout, self.bound = timeout, everywhere_within(timeout, ahead, DRIFT, tiers=3) + DELAY_ALLOWANCE_S
        verdict.rules = {rule: {"checked": 0, "broken": 0} for rule in RULES}
        self.ends = ends
        self.end = max((each.now for rows in kinds.values() for each in rows), default=0.0)
        self.accords: dict[str, FleetChecker] = {}
        said: dict[StoreTalk, list[tuple]] = {}
        for name, root in fleets.roots.items():
            whose = frozenset(fleets.cells.get(name, ()))
            self.accords[name] = FleetChecker(
                kinds, owner, verdict.count_check, verdict.report_violation, root, whose, said=said
            )
        self.settled: dict[int, Seen] = {}  # by version
        runs = [
            (each.asked_at, VERSION_DECODER.decode(each.asked))
            for connection in kinds.get(ORDER, [])
            for each in connection.exchanges
            if each.path == RUNS_PATH and each.asked
        ]
        self.runs = sorted(runs, key=lambda row: row[0])

    def judge(self) -> None:
        for name, accord_of in self.accords.items():
            accord_of.judge_epochs()
            accord_of.judge_words(self.timeout, "ready" if name else "settled")
        self._judge_versions()
        self._judge_copies()
        for cell in self.fleets.cells:
            self.accords[cell]._judge_leases()
            self._judge_chain(cell)
        self.accords[""]._judge_owners()
        self._judge_policies()
        if self.ends:
            self._judge_ends()

    def _judge_versions(self) -> None:
        """A version is settled once, in the whole."""
        for seen in self.accords[""].seen:
            standing, topic = seen.record.standing, seen.record.topic
            if topic != TOPIC or standing is None:
                continue
            version = standing.body["version"]
            first = self.settled.setdefault(version, seen)
            self.verdict.count_check("epochs")
            if first.record.standing.token != standing.token:
                self.verdict.report_violation(
                    "epochs", f"version {version} was settled as {first.record.standing.token} and as {standing.token}"
                )

    def _judge_copies(self) -> None:
        """Regions and cells hold only what the whole made of a proposal, and not before it did."""
        whole = {}  # by epoch: since when it was settled there
        for seen in self.accords[""].seen:
            if (standing := seen.record.standing) is not None:
                whole.setdefault((seen.record.topic, standing.epoch, standing.token), seen.at)
        for name, accord_of in self.accords.items():
            for seen in accord_of.seen if name else ():
                standing = seen.record.standing
                if standing is None:
                    continue
                self.verdict.count_check("epochs")
                since = whole.get((seen.record.topic, standing.epoch, standing.token), accord.NEVER)
                if since > seen.at + accord.TRANSIT_ALLOWANCE_S:
                    self.verdict.report_violation(
                        "epochs",
                        f"{accord_of.root}: epoch {standing.epoch} of {standing.token} "
                        f"stands at {seen.at:.2f} s, not settled in the whole by then",
                    )

    def _judge_chain(self, cell: str) -> None:
        """Nobody acts past what its own readings of its region's beats prove, nor where it was told that nobody speaks
        for its cell, nor where the region had no node in the whole within the time for which a beat proves it."""
        region, lasts = self.fleets.region_of(cell), HOLDS * self.timeout
        proofs, named = self._proofs(cell, region, lasts), self._named(cell, region)
        seen = [sorted(rows) for node, rows in self.accords[""].presence.items() if node.partition("~")[0] == region]
        for at, order in self.accords[cell]._orders():
            self.verdict.count_check("leases", 3)
            until = max((end for heard, end in proofs[order.name] if heard <= at), default=0.0)
            if at > until + LATE:
                self.verdict.report_violation(
                    "leases",
                    f"{order.name} acts at {at:.2f} s; that {region} is in touch was proven until {until:.2f} s",
                )
            heard = [there for then, there in named[order.name] if then <= at - LATE]
            if not heard or not (heard[-1] or any(at - LATE < then for then, _ in named[order.name] if then <= at)):
                self.verdict.report_violation(
                    "leases", f"{order.name} acts at {at:.2f} s, told that nobody speaks for {cell}"
                )
            since = at - lasts * (1 + DRIFT) - LATE
            if not any(was_there(rows, since, at) for rows in seen):
                self.verdict.report_violation(
                    "leases", f"{order.name} acts at {at:.2f} s; {region} had no node in the whole since {since:.2f} s"
                )

    def _proofs(self, cell: str, region: str, lasts: float) -> dict[str, list[tuple[float, float]]]:
        """By supervisor, when it heard what, and until when that proves its region to be in touch: for as long from the
        asking of the last poll that read a beat older by two, of the same run."""
        polls: dict[str, list[tuple[float, float, dict]]] = defaultdict(list)
        proofs: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for talk in self.kinds.get(STORED, []):
            name = self.names[self.owner(talk.asked)]
            if name in self.fleets.cells[cell]:
                polls[name] += readings(talk, f"{self.fleets.roots[region]}/above")
        for name, rows in polls.items():
            older: dict[str, list[tuple[float, int]]] = defaultdict(list)  # by run
            for asked_at, answered_at, beat in sorted(rows, key=lambda row: row[0]):
                own = older[beat["run"]]
                before = [then for then, number in own if number <= beat["number"] - 2]
                if before:
                    proofs[name].append((answered_at, max(before) + lasts))
                own.append((asked_at, beat["number"]))
        return proofs

    def _named(self, cell: str, region: str) -> dict[str, list[tuple[float, bool]]]:
        """By supervisor, when it was told who is in its region, and whether its cell was."""
        named: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        path, accord_of = f"{self.fleets.roots[region]}/members", self.accords[region]
        for talk in self.kinds.get(STORED, []):
            name = self.names[self.owner(talk.asked)]
            for at, request, result in accord_of._answers(talk) if name in self.fleets.cells[cell] else ():
                if isinstance(request, jute.GetChildren) and request.path == path:
                    named[name].append((at, any(node.partition("~")[0] == cell for node in result[0])))
        for rows in named.values():
            rows.sort()
        return named

    def _judge_policies(self) -> None:
        """Nobody goes by what was never settled in the whole, and nobody by an older version once the bound is over."""
        since = {version: seen.at for version, seen in self.settled.items()}
        judge_changes(self.verdict, told(self.kinds), since, self.bound)
        for at, runs in self.runs:
            self.verdict.count_check(POLICIES)
            if runs.version and since.get(runs.version, accord.NEVER) > at + accord.TRANSIT_ALLOWANCE_S:
                self.verdict.report_violation(
                    POLICIES,
                    f"{runs.name} goes by version {runs.version} at {at:.2f} s, which was "
                    "not settled in the whole by then",
                )
            newer = [version for version, then in since.items() if version > runs.version and at > then + self.bound]
            if newer:
                self.verdict.report_violation(
                    POLICIES,
                    f"{runs.name} goes by version {runs.version} at {at:.2f} s; {newer[0]} "
                    f"is settled since {since[newer[0]]:.2f} s",
                )
            else:
                later = [at - then for version, then in since.items() if version > runs.version]
                self.verdict.record_usage(POLICIES, max(later, default=0.0) / self.bound)

    def _judge_ends(self) -> None:
        """With the faults over everybody goes by what stands, and nothing is open any more."""
        stands = max(self.settled, default=0)
        last = {runs.name: runs for at, runs in self.runs if at > self.end - LAST}
        for name in self.names:
            self.verdict.count_check("ends")
            if name not in last or last[name].version != stands:
                said = f"goes by version {last[name].version}" if name in last else "holds still"
                self.verdict.report_violation("ends", f"{name} {said} at the end; version {stands} stands")
        for accord_of in self.accords.values():
            by_topic = {}
            for seen in accord_of.seen:
                old = by_topic.get(seen.record.topic)
                by_topic[seen.record.topic] = seen if old is None or agreement.newer(seen.record, old.record) else old
            for topic, seen in by_topic.items():
                self.verdict.count_check("ends")
                if agreement.pending(seen.record):
                    self.verdict.report_violation(
                        "ends",
                        f"{accord_of.root}: epoch {seen.record.epoch} of {topic} is {seen.record.state} at the end",
                    )


def was_there(rows: list[tuple[float, bool]], since: float, till: float) -> bool:
    """Whether a node was there at any moment of a time, by when it was made or seen, and when somebody was told that it
    is gone."""
    there = not rows[0][1]
    for at, made in rows:
        if at > till:
            break
        if there and not made and at >= since:
            return True
        there = made
    return there


def readings(talk: StoreTalk, path: str) -> Iterator[tuple[float, float, dict]]:
    """The readings of one node on a connection to a store: when it was asked for, when told, and what it held."""
    asked: dict[int, float] = {}
    opened = {False: False, True: False}
    for at, back, payload in talk.rows:
        if not opened[back]:
            opened[back] = True  # the session's opening
        elif not back:
            xid, request = jute.read_request(payload)
            if isinstance(request, jute.GetData) and request.path == path:
                asked[xid] = at
        else:
            reply, reader = jute.read_reply(payload)
            asked_at = asked.pop(reply.xid, None)
            if asked_at is not None and reply.error == jute.OK:
                data, _ = jute.read_result(jute.GetData(path), reader)
                yield asked_at, at, msgspec.json.decode(data)


def told(kinds: dict[str, list[Connection]]) -> dict[int, list[tuple[float, Changes]]]:
    """By proxy, what changes it was told when."""
    rows: dict[int, list[tuple[float, Changes]]] = defaultdict(list)
    for connection in kinds.get(CONTROL, []):
        for each in connection.exchanges:
            parts = each.path.split("/")
            if each.status == 200 and len(parts) == 5 and parts[4] == "changes":
                changes = CHANGES.decode(each.body)
                if changes.changes:
                    rows[int(parts[3])].append((each.answered_at, changes))
    return rows
