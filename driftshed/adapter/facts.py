"""Start facts out of settings: one reader for all that a deployment is told by, whatever form it comes in. The names
that settings go by end here."""

from __future__ import annotations

from math import isfinite

from driftshed import interface as face


class BadInput(Exception):
    """What is wrong with the bytes that came, and where."""


EFFECTS = {"retryable": "idempotent", "dedup": "fingerprinted", "fragile": "side-effecting"}
LOADS = {
    "busy_reqs": "in flight",
    "pending": "queued",
    "cpu_share": "utilisation",
    "svc_ms": "service time",
    "served_ps": "succeeded rate",
    "failed_ps": "errored rate",
}
AMOUNTS = {
    "seconds": lambda text: number(text) / 1e6,
    "number": lambda text: number(text),
    "count": lambda text: int(number(text)),
    "word": str,
    "yes": lambda text: text == "true",
    "words": lambda text: tuple(text.split(",")),
    "loads": lambda text: tuple(LOADS.get(word, word) for word in text.split(",")),
    "effect": EFFECTS.__getitem__,
    "pushed": lambda text: text == "pushed",
}

# One row a fact, in the order of the interface's fields: the wire's path, how to read it, and what an absent one is.
OPERATION_FACTS = (
    ("name", "word", ""),
    ("sloUs", "seconds", None),
    ("deadlineUs", "seconds", None),
    ("worth", "number", None),
    ("lateWorth", "number", None),
    ("effect", "effect", None),
    ("dedupScope", "word", None),
    ("windowUs", "seconds", None),
)
START_FACTS = (
    ("zones", "words", ()),
    ("hostTypes", "words", ()),
    ("az", "count", None),
    ("me", "count", None),
    ("balancers", "count", None),
    ("registryMode", "pushed", None),
    ("weightSource", "word", None),
    ("report.fields", "loads", ()),
    ("report.how", "word", None),
    ("limits.mayProbe", "yes", False),
    ("limits.peerMessages", "yes", False),
    ("invariants.fullMayHaveRun", "yes", False),
    ("invariants.onlyDrainingBinds", "yes", False),
    ("invariants.askWithinUs", "seconds", None),
    ("invariants.coldFrom", "number", None),
    ("invariants.warmWithinUs", "seconds", None),
    ("invariants.drainGraceUs", "seconds", None),
    ("invariants.tipMultiple", "number", None),
    ("invariants.fallUs", "seconds", None),
    ("domain.admit", "word", None),
    ("domain.queueCap", "number", None),
    ("domain.linesPerS", "number", None),
    ("domain.perMessage", "number", None),
    ("domain.transitUs", "seconds", None),
    ("domain.worstTransitUs", "seconds", None),
    ("domain.pushesAllowed", "count", 0),
    ("domain.messagesOverUs", "seconds", None),
    ("domain.lineFee", "number", None),
    ("domain.emptyForUs", "seconds", None),
    ("domain.proxies", "count", None),
    ("domain.bootstrap", "count", None),
    ("domain.pick", "word", None),
    ("domain.perTry", "number", None),
    ("domain.defaultRetry", "count", None),
    ("domain.outlierAfter", "count", None),
    ("domain.cycleUs", "seconds", None),
    ("domain.hearsPerS", "number", None),
    ("domain.slices", "count", 0),
    ("domain.soleOwner", "yes", False),
    ("domain.keepsWritingUs", "seconds", None),
    ("domain.lingersUs", "seconds", None),
    ("domain.bufferForUs", "seconds", None),
    ("domain.reassignPrice", "number", None),
    ("domain.warmKeys", "yes", False),
    ("domain.minConnCap", "number", None),
    ("limits.dialTimeoutUs", "seconds", None),
    ("limits.idleCloseUs", "seconds", None),
    ("limits.maxStreams", "count", None),
    ("quantumUs", "seconds", None),
)


def read_facts(text: str) -> face.StartFacts:
    """The start facts of a settings text: lines of path=value. BadInput: as `facts_of`."""
    return facts_of(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def flat(value: object, path: str = "") -> dict[str, str]:
    """The pairs of path and value of nested settings, in the text's way: plain lists joined with commas, others by
    their places and a count, spaces and commas within words replaced."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, each in value.items():
            pairs |= flat(each, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(each, dict | list) for each in value):
            pairs = {f"{path}.count": str(len(value))}
            for place, each in enumerate(value):
                pairs |= flat(each, f"{path}.{place}")
            return pairs
        return {path: ",".join(map(word, value))}
    return {path: word(value)}


def word(value: object) -> str:
    """A plain value as the text writes it."""
    if value is None or isinstance(value, bool):
        return "" if value is None else str(value).lower()
    return str(value).replace(" ", "_").replace(",", "_")


def number(text: str) -> float:
    """A finite number; ValueError where it is none."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def facts_of(given: dict[str, str]) -> face.StartFacts:
    """The start facts of pairs of path and value. Paths that no row names are skipped. BadInput: a value that is not
    one of its kind."""

    def fact(path: str, amount: str, absent: object) -> object:
        try:
            return AMOUNTS[amount](given[path]) if given.get(path, "") != "" else absent
        except (ValueError, KeyError):
            value = repr(given[path])[1:-1][:80]
            raise BadInput(f"settings: {path}={value} is not one of its kind ({amount})") from None

    writes, local = fact("domain.classWrites", "words", ()), fact("domain.staysLocal", "words", ())
    operations = tuple(
        face.Operation(
            *(fact(f"lanes.{place}.{name}", amount, absent) for name, amount, absent in OPERATION_FACTS),
            writes=writes[place : place + 1] == ("true",),
            stays_local=local[place : place + 1] == ("true",),
        )
        for place in range(fact("lanes.count", "count", 0))
    )
    return face.StartFacts(operations, *(fact(*row) for row in START_FACTS))


def path_of(fact: str) -> str:
    """Where settings say a fact of the whole deployment."""
    return START_FACTS[face.StartFacts._fields.index(fact) - 1][0]


def names_of(settings: dict) -> list[list[str]]:
    """Zones, kinds and operations as nested settings call them, before spaces and commas are replaced."""
    lanes = settings.get("lanes")
    lanes = [each.get("name") if isinstance(each, dict) else None for each in lanes] if isinstance(lanes, list) else []
    rows = settings.get("zones"), settings.get("hostTypes"), lanes
    return [[str(name) for name in row] if isinstance(row, list) else [] for row in rows]
