"""Configuration of one supervisor: environment variables and the configuration file to validated facts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from driftshed import interface as face
from driftshed.adapter.facts import BadInput, facts_from_pairs, flatten, format_value, original_names, path_of_fact
from driftshed.core.messages import InvalidServerName, server_id
from driftshed.node.codec import Names

MAX_FILE_BYTES = 16 << 20
MIN_SOCKETS = 32  # with fewer descriptors there is no room for collectors beside the other connections
# Facts that the decisions module cannot do without; the others may be absent.
REQUIRED_FACTS = (
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
REQUIRED_LISTS = ("zones", "kinds")
POSITIVE_FACTS = (
    "supervisors",
    "tip_multiple",
    "queue_cap",
    "lines_per_second",
    "proxies",
    "report_period",
    "tick",
    "latency_objective",
)
MAX_VALUE = 1e12  # bound of any number: with larger ones, sums may not be finite
MAX_OPERATIONS = 16  # the bit mask of operations in an order has 16 bits


class SupervisorOptions(NamedTuple):
    """The validated configuration of one supervisor. Addresses are (host, port); `known` is a list of servers in
    discovery's JSON format, or empty."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    relay: tuple[str, int]
    seed: int
    sockets: int
    facts: face.StartFacts
    names: Names | None  # as configured; None: as the facts contain them
    known: dict


def parse_address(text: object, what: str) -> tuple[str, int]:
    """The (host, port) of an "address:port" text. Raises BadInput, which names the setting `what`."""
    try:
        server_id(str(text))
    except InvalidServerName:
        raise BadInput(f"{what} is {str(text)[:80]!r}: specify an IPv4 address, a colon and a port") from None
    host, _, port = str(text).rpartition(":")
    return host, int(port)


def load(environment: Mapping[str, str]) -> SupervisorOptions:
    """The configuration in the file that LB_CONFIG names. Raises BadInput, which states what is missing or invalid
    and what to specify instead."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise BadInput("LB_CONFIG is not set: set it to the path of the configuration file")
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise BadInput(f"LB_CONFIG is {path}, which cannot be read: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise BadInput(f"{path} is larger than {MAX_FILE_BYTES} bytes")
    try:
        document = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadInput(f"{path} is not valid JSON: {error}") from None
    return parse(document, environment)


def parse(document: object, environment: Mapping[str, str]) -> SupervisorOptions:
    """Validates a decoded configuration. The environment supplies the name and addresses that it lacks; LB_LISTEN
    takes precedence over `listen`. Raises BadInput as `load` does."""
    if not isinstance(document, dict):
        raise BadInput("the configuration is not a JSON object")
    settings, known = document.get("settings"), document.get("known")
    relay, limits = document.get("distributor"), document.get("limits")
    for name, value in (("settings", settings), ("distributor", relay)):
        if not isinstance(value, dict):
            raise BadInput(f"the configuration's {name!r} is missing or not an object")
    try:
        seed = int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise BadInput(
            f"the configuration's seed is {str(document['seed'])[:40]!r}: specify hexadecimal digits"
        ) from None
    sockets = limits.get("sockets", 256) if isinstance(limits, dict) else 256
    if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise BadInput(f"limits.sockets is {sockets!r}: specify {MIN_SOCKETS} or more")
    lanes = settings.get("lanes")
    if not isinstance(lanes, list) or not 0 < len(lanes) <= MAX_OPERATIONS:
        raise BadInput(f"settings do not specify operations: set lanes to a list of 1 to {MAX_OPERATIONS}")
    facts = facts_from_pairs(flatten(settings))
    _validate_facts(facts)
    fact_names = facts.zones, facts.kinds, tuple(each.name for each in facts.operations)
    names = Names(
        *(
            tuple(document) if tuple(map(format_value, document)) == fact_form else fact_form
            for document, fact_form in zip(original_names(settings), fact_names, strict=True)
        )
    )
    for path, row in (("zones", names.zones), ("hostTypes", names.kinds), ("lanes[].name", names.operations)):
        if not all(row) or len(set(row)) < len(row):
            raise BadInput(f"settings: {path} is {list(row)}: specify a unique name for each")
    return SupervisorOptions(
        str(document.get("name", environment.get("LB_NAME", "supervisor"))),
        parse_address(environment.get("LB_LISTEN", document.get("listen")), "LB_LISTEN"),
        parse_address(document.get("discovery", environment.get("LB_DISCOVERY")), "the configuration's discovery"),
        parse_address(relay.get("address"), "the configuration's distributor.address"),
        seed,
        sockets,
        facts,
        names,
        known if isinstance(known, dict) else {},
    )


def _validate_facts(facts: face.StartFacts) -> None:
    """Raises BadInput for a missing fact that the module requires, or a number out of range."""
    for name, value in facts._asdict().items():
        if value is None and name in REQUIRED_FACTS or value == () and name in REQUIRED_LISTS:
            raise BadInput(f"settings do not specify {path_of_fact(name)}: add it")
        _validate_range(name, path_of_fact(name) if name != "operations" else "", value)
    for index, operation in enumerate(facts.operations):
        for name, path in (("latency_objective", "sloUs"), ("billed_value", "worth"), ("effect", "effect")):
            value = getattr(operation, name)
            if value is None:
                raise BadInput(f"settings do not specify lanes.{index}.{path}: add it")
            _validate_range(name, f"lanes.{index}.{path}", value)


def _validate_range(name: str, path: str, value: object) -> None:
    minimum = 1 / MAX_VALUE if name in POSITIVE_FACTS else 0.0
    if isinstance(value, float | int) and not minimum <= value <= MAX_VALUE:
        raise BadInput(f"settings: {path} is {value:g}: specify a number from {minimum:g} to {MAX_VALUE:g}")
