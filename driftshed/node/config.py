"""What one supervisor is told: environment and configuration file to checked facts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from driftshed import interface as face
from driftshed.adapter.facts import BadInput, facts_of, flat, names_of, path_of, word
from driftshed.core.messages import BadName, server_id
from driftshed.node.codec import Names

MOST_BYTES = 16 << 20  # of a configuration file
LEAST_SOCKETS = 32  # with fewer descriptors there is no room for collectors beside the rest
# Facts without which the module cannot decide; the others may be absent.
NEEDED = (
    "own_zone",
    "own_number",
    "supervisors",
    "list_is_pushed",
    "listed_weights",
    "ask_within",
    "cold_share",
    "warm_within",
    "drain_grace",
    "tip_multiple",
    "level_form",
    "queue_cap",
    "lines_per_second",
    "lines_per_message",
    "transit",
    "worst_transit",
    "message_span",
    "proxies",
    "standing_lines",
    "report_period",
    "report_lines_per_second",
    "tick",
)
LISTS = ("zones", "kinds")
ABOVE_NOTHING = (
    "supervisors",
    "tip_multiple",
    "queue_cap",
    "lines_per_second",
    "proxies",
    "report_period",
    "tick",
    "latency_objective",
)
MOST = 1e12  # of any figure: above it sums of them are no figures any more
MOST_OPERATIONS = 16  # as many as orders can name


class Told(NamedTuple):
    """The facts of one supervisor. Addresses are (host, port); `known` is in discovery's form."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    relay: tuple[str, int]
    seed: int
    sockets: int
    facts: face.StartFacts
    names: Names | None  # as given; None: as the facts have them
    known: dict


def address(text: object, what: str) -> tuple[str, int]:
    """An IPv4 address and a port; BadInput names what it is for."""
    try:
        server_id(str(text))
    except BadName:
        raise BadInput(f"{what} is {str(text)[:80]!r}: give an IPv4 address, a colon and a port") from None
    host, _, port = str(text).rpartition(":")
    return host, int(port)


def read(environment: Mapping[str, str]) -> Told:
    """All that a supervisor is told. BadInput: what is missing or wrong, and what to give instead."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise BadInput("LB_CONFIG is not set: name the configuration file in it")
    try:
        with open(path, "rb") as file:
            text = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise BadInput(f"LB_CONFIG names {path}, which cannot be read: {error.strerror}") from None
    if len(text) > MOST_BYTES:
        raise BadInput(f"{path} is larger than {MOST_BYTES} bytes")
    try:
        given = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadInput(f"{path} is no JSON: {error}") from None
    return checked(given, environment)


def checked(given: object, environment: Mapping[str, str]) -> Told:
    """A configuration as decoded, with the environment where it says nothing itself. BadInput: as `read`."""
    if not isinstance(given, dict):
        raise BadInput("the configuration is no JSON object")
    settings, known = given.get("settings"), given.get("known")
    relay, limits = given.get("distributor"), given.get("limits")
    for name, value in (("settings", settings), ("distributor", relay)):
        if not isinstance(value, dict):
            raise BadInput(f"the configuration's {name!r} is missing or no object")
    try:
        seed = int(str(given.get("seed", "0")), 16)
    except ValueError:
        raise BadInput(f"the configuration's seed is {str(given['seed'])[:40]!r}: give hexadecimal digits") from None
    sockets = limits.get("sockets", 256) if isinstance(limits, dict) else 256
    if not isinstance(sockets, int) or sockets < LEAST_SOCKETS:
        raise BadInput(f"limits.sockets is {sockets!r}: {LEAST_SOCKETS} or more are wanted")
    lanes = settings.get("lanes")
    if not isinstance(lanes, list) or not 0 < len(lanes) <= MOST_OPERATIONS:
        raise BadInput(f"settings say nothing of operations: give lanes as a list of 1 to {MOST_OPERATIONS}")
    facts = facts_of(flat(settings))
    _check(facts)
    words = facts.zones, facts.kinds, tuple(each.name for each in facts.operations)
    names = Names(
        *(
            tuple(given) if tuple(map(word, given)) == worded else worded
            for given, worded in zip(names_of(settings), words, strict=True)
        )
    )
    for path, row in (("zones", names.zones), ("hostTypes", names.kinds), ("lanes[].name", names.operations)):
        if not all(row) or len(set(row)) < len(row):
            raise BadInput(f"settings: {path} is {list(row)}: give each a name of its own")
    return Told(
        str(given.get("name", environment.get("LB_NAME", "supervisor"))),
        address(environment.get("LB_LISTEN", given.get("listen")), "LB_LISTEN"),
        address(given.get("discovery", environment.get("LB_DISCOVERY")), "the configuration's discovery"),
        address(relay.get("address"), "the configuration's distributor.address"),
        seed,
        sockets,
        facts,
        names,
        known if isinstance(known, dict) else {},
    )


def _check(facts: face.StartFacts) -> None:
    """BadInput: what the module cannot decide without, or a figure out of its range."""
    for name, value in facts._asdict().items():
        if value is None and name in NEEDED or value == () and name in LISTS:
            raise BadInput(f"settings say nothing of {path_of(name)}: give it")
        _in_range(name, path_of(name) if name != "operations" else "", value)
    for place, operation in enumerate(facts.operations):
        for name, path in (("latency_objective", "sloUs"), ("billed_value", "worth"), ("effect", "effect")):
            value = getattr(operation, name)
            if value is None:
                raise BadInput(f"settings say nothing of lanes.{place}.{path}: give it")
            _in_range(name, f"lanes.{place}.{path}", value)


def _in_range(name: str, path: str, value: object) -> None:
    least = 1 / MOST if name in ABOVE_NOTHING else 0.0
    if isinstance(value, float | int) and not least <= value <= MOST:
        raise BadInput(f"settings: {path} is {value:g}: give a figure from {least:g} to {MOST:g}")
