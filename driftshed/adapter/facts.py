"""Start facts from settings: one reader for every form in which a deployment's settings come. Names of settings appear
only in this module."""

from __future__ import annotations

from math import isfinite

from driftshed import interface as face


class BadInput(Exception):
    """Invalid input. The text states what is wrong, and where."""


EFFECTS = {"retryable": "idempotent", "dedup": "fingerprinted", "fragile": "side-effecting"}
LOAD_FIELDS = {
    "busy_reqs": "in flight",
    "pending": "queued",
    "cpu_share": "utilisation",
    "svc_ms": "service time",
    "served_ps": "succeeded rate",
    "failed_ps": "errored rate",
}
PARSERS = {
    "seconds": lambda text: parse_number(text) / 1e6,
    "number": lambda text: parse_number(text),
    "count": lambda text: int(parse_number(text)),
    "word": str,
    "yes": lambda text: text == "true",
    "words": lambda text: tuple(text.split(",")),
    "loads": lambda text: tuple(LOAD_FIELDS.get(word, word) for word in text.split(",")),
    "effect": EFFECTS.__getitem__,
    "pushed": lambda text: text == "pushed",
}

# One row for each fact, in the order of the interface's fields: path in the settings, kind of value (a key of PARSERS)
# and value if absent.
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
    """The start facts from a settings text of lines path=value. Raises BadInput as `facts_from_pairs` does."""
    return facts_from_pairs(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flattens nested settings to pairs of path and value as in a settings text: lists of plain values are joined with
    commas, other lists become a count and one path for each index, spaces and commas within values are replaced."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, each in value.items():
            pairs |= flatten(each, f"{path}.{name}" if path else str(name))
        return pairs
    if isinstance(value, list):
        if any(isinstance(each, dict | list) for each in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, each in enumerate(value):
                pairs |= flatten(each, f"{path}.{index}")
            return pairs
        return {path: ",".join(map(format_value, value))}
    return {path: format_value(value)}


def format_value(value: object) -> str:
    """A plain value as written in a settings text, with spaces and commas replaced by underscores."""
    if value is None or isinstance(value, bool):
        return "" if value is None else str(value).lower()
    return str(value).replace(" ", "_").replace(",", "_")


def parse_number(text: str) -> float:
    """A finite number. Raises ValueError."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def facts_from_pairs(pairs: dict[str, str]) -> face.StartFacts:
    """The start facts from pairs of path and value. Unknown paths are ignored. Raises BadInput for a value that is not
    of its fact's kind."""

    def fact(path: str, kind: str, absent: object) -> object:
        try:
            return PARSERS[kind](pairs[path]) if pairs.get(path, "") != "" else absent
        except (ValueError, KeyError):
            value = repr(pairs[path])[1:-1][:80]
            raise BadInput(f"settings: {path}={value} is not a valid value ({kind})") from None

    writes, local = fact("domain.classWrites", "words", ()), fact("domain.staysLocal", "words", ())
    operations = tuple(
        face.Operation(
            *(fact(f"lanes.{index}.{name}", kind, absent) for name, kind, absent in OPERATION_FACTS),
            writes=writes[index : index + 1] == ("true",),
            stays_local=local[index : index + 1] == ("true",),
        )
        for index in range(fact("lanes.count", "count", 0))
    )
    return face.StartFacts(operations, *(fact(*row) for row in START_FACTS))


def path_of_fact(fact: str) -> str:
    """The path in the settings of a fact of the whole deployment."""
    return START_FACTS[face.StartFacts._fields.index(fact) - 1][0]


def original_names(settings: dict) -> list[list[str]]:
    """Names of zones, kinds of servers and operations as in nested settings, before spaces and commas are replaced."""
    lanes = settings.get("lanes")
    lanes = [each.get("name") if isinstance(each, dict) else None for each in lanes] if isinstance(lanes, list) else []
    rows = settings.get("zones"), settings.get("hostTypes"), lanes
    return [[str(name) for name in row] if isinstance(row, list) else [] for row in rows]
