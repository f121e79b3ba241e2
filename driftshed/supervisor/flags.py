"""Flags of a supervisor and the start facts that they set. Each flag can also be given by the environment variable
`DRIFTSHED_` plus its name in capitals; there is no other way to configure a supervisor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple

import click
import msgspec
from msgspec import Meta, Struct

from driftshed import interface as face
from driftshed.common.options import option

Seconds = Annotated[float, Meta(gt=0, le=86400)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class OperationFlag(Struct, forbid_unknown_fields=True):
    """Fields of `--operation NAME:key=value,...`; `objective`, `timeout` and `window` are in seconds."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    objective: Seconds
    timeout: Seconds
    value: Annotated[float, Meta(gt=0)]
    effect: Literal["idempotent", "fingerprinted", "side-effecting"] = "side-effecting"
    late: Fraction = 0.0
    scope: Literal["all", "zone", "cell"] = "all"
    window: Seconds | None = None
    writes: bool = False
    local: bool = False


OPERATION_HELP = (
    "one kind of invocation, NAME:key=value,...: objective and timeout (seconds), value (billed), effect (idempotent, "
    "fingerprinted or side-effecting), late (share of the value past the objective), scope and window (which servers "
    "drop a repeat, for how long), writes, local. Give it once per operation; in the environment, separated by ';'"
)


def read_operation(text: str) -> face.Operation:
    """Parses the value of one `--operation`. Raises click.BadParameter with the remedy where it is invalid."""
    name, colon, rest = text.strip().partition(":")
    try:
        fields = dict(part.split("=", 1) for part in rest.split(",") if part)
    except ValueError:
        raise click.BadParameter(f"{text!r}: after the name and a colon write key=value pairs, with commas") from None
    if not colon:
        raise click.BadParameter(f"{text!r}: write NAME:objective=0.5,timeout=1.5,value=1")
    try:
        flag = msgspec.convert({"name": name, **fields}, OperationFlag, strict=False)
    except msgspec.ValidationError as error:
        raise click.BadParameter(f"{text!r}: {error}") from None
    if flag.timeout <= flag.objective:
        raise click.BadParameter(f"{text!r}: timeout must be above objective ({flag.objective} s)")
    if (flag.effect == "fingerprinted") != (flag.window is not None):
        raise click.BadParameter(f"{text!r}: window=SECONDS goes with effect=fingerprinted, and only with it")
    return face.Operation(
        flag.name,
        flag.objective,
        flag.timeout,
        flag.value,
        flag.late,
        flag.effect,
        flag.scope,
        flag.window,
        flag.writes,
        flag.local,
    )


class OperationType(click.ParamType):
    """Type of `--operation`; in the environment, semicolons separate the operations."""

    name = "operation"

    def convert(self, value: object, param: object, context: object) -> face.Operation:
        """Parses a text; a value that is an operation already is returned unchanged."""
        if isinstance(value, face.Operation):
            return value
        try:
            return read_operation(str(value))
        except click.BadParameter as error:
            self.fail(error.message, param, context)

    def split_envvar_value(self, value: str) -> list[str]:
        """Texts between semicolons, without empty ones."""
        return [part for part in value.split(";") if part.strip()]


class NameList(click.ParamType):
    """Type of a flag whose value is a comma-separated list of distinct names, at least one."""

    name = "names"

    def convert(self, value: object, param: object, context: object) -> tuple[str, ...]:
        """Parses a text; a tuple is returned unchanged."""
        if isinstance(value, tuple):
            return value
        names = tuple(part.strip() for part in str(value).split(",") if part.strip())
        if not names or len(set(names)) < len(names):
            self.fail(f"{value!r}: names separated by commas are expected, each once", param, context)
        return names


class Flag(NamedTuple):
    """One flag: its name, the start fact that it sets, its type, its default and its help."""

    name: str
    fact: str
    param_type: click.ParamType
    default: object
    help: str


def _above(minimum: float) -> click.FloatRange:
    return click.FloatRange(minimum, 1e9, min_open=True)


UINT16, POSITIVE = click.IntRange(0, 65535), click.IntRange(1, 65535)
SECONDS, FRACTION = click.FloatRange(0, 86400, min_open=True), click.FloatRange(0, 1, min_open=True)

FLAGS = (
    Flag("zones", "zones", NameList(), "east,west", "names of the zones, separated by commas"),
    Flag("kinds", "kinds", NameList(), "standard", "names of the machine kinds"),
    Flag("load-fields", "load_fields", click.STRING, "", "load figures in reports: in flight, queued, utilisation"),
    Flag("weights", "listed_weights", click.Choice(["off", "nominal", "rough", "live"]), "off", "meaning of weights"),
    Flag("proxies", "proxies", POSITIVE, 16, "proxies of the deployment, at all supervisors together"),
    Flag("supervisors", "supervisors", POSITIVE, 1, "supervisors of the deployment"),
    Flag("own-number", "own_number", UINT16, 0, "index of this supervisor, from 0"),
    Flag("cold-share", "cold_share", FRACTION, 0.2, "share of its capacity that a server certainly has at its start"),
    Flag("warm-within", "warm_within", SECONDS, 15.0, "seconds after its start within which a server is warm"),
    Flag("drain-grace", "drain_grace", SECONDS, 2.0, "seconds within which sends to a draining or gone server end"),
    Flag("tip-multiple", "tip_multiple", _above(1), 3.0, "multiple of its capacity that overloads a cold server"),
    Flag("tip-span", "tip_span", SECONDS, 2.0, "seconds at --tip-multiple after which it is overloaded"),
    Flag("bare-for", "bare_for", SECONDS, 4.0, "seconds that a joined proxy may have no line to pick"),
    Flag("queue-cap", "queue_cap", _above(0), 1500.0, "lines that may wait in the channel"),
    Flag("lines-per-second", "lines_per_second", _above(0), 1000.0, "rate of the channel"),
    Flag("lines-per-message", "lines_per_message", click.FloatRange(0, 1000), 3.0, "lines that a message costs extra"),
    Flag("message-cap", "message_cap", UINT16, 30, "messages to one proxy within --message-span; 0: no cap"),
    Flag("message-span", "message_span", SECONDS, 10.0, "seconds to which --message-cap applies"),
    Flag("transit", "transit", SECONDS, 0.05, "mean seconds from leaving the channel to the proxy's answer"),
    Flag("worst-transit", "worst_transit", SECONDS, 0.5, "longest such time in seconds"),
    Flag("levels", "level_form", click.Choice(["share", "rate", "off"]), "share", "form of the admission levels"),
    Flag("pick", "pick", click.Choice(["weighted", "round", "two"]), "two", "how proxies pick a line"),
    Flag("try-objectives", "try_objectives", _above(0), 1.0, "objectives that a try waits unless it is the last"),
    Flag("default-tries", "default_tries", click.IntRange(0, 3), 0, "mode of tries until a supervisor sets one"),
    Flag("standing-lines", "standing_lines", UINT16, 5, "lines of the table that a proxy starts with"),
    Flag("report-period", "report_period", SECONDS, 0.5, "seconds between summed reports to the module"),
    Flag("report-lines", "report_lines_per_second", _above(0), 250.0, "most lines of those reports per second"),
    Flag("least-connections", "least_connections", _above(0), 400.0, "connections that the smallest server accepts"),
    Flag("connect-timeout", "connect_timeout", SECONDS, 0.25, "seconds that a proxy waits for a connection"),
    Flag("idle-close", "idle_close", SECONDS, 15.0, "seconds after which proxies close idle connections"),
    Flag("full-may-have-run", "full_may_have_run", click.BOOL, False, "full servers may have begun what they refuse"),
)

# Facts that this program does not use, or supports with one value only: the roster is pushed, nothing is probed or sent
# to peers, and keys have no slices.
FIXED_FACTS = {
    "own_zone": 0,
    "list_is_pushed": True,
    "may_probe": False,
    "may_tell_peers": False,
    "only_draining_binds": False,
    "ask_within": 10.0,
    "line_price": 0.0,
    "avoids_after": 0,
    "slices": 0,
    "sole_owner": False,
    "keeps_writing": None,
    "write_settles": None,
    "buffer_for": None,
    "move_price": 0.0,
    "warm_keys": False,
    "streams": 1,
    "tick": 0.02,
}


def fact_options(command: Callable) -> Callable:
    """Decorator that adds the flags of the start facts to a click command."""
    for flag in reversed(FLAGS):
        command = option(flag.name, flag.fact, type=flag.param_type, default=flag.default, help=flag.help)(command)
    kind = OperationType()
    return option("operation", "operations", type=kind, multiple=True, required=True, help=OPERATION_HELP)(command)


def start_facts(values: dict) -> face.StartFacts:
    """Start facts of the flags' values, keyed by fact. Raises click.BadParameter, which names the flag and the remedy,
    where two values contradict each other."""
    facts = {name: values[name] for name in face.StartFacts._fields if name in values} | FIXED_FACTS
    fields = tuple(part.strip() for part in facts["load_fields"].split(",") if part.strip())
    known = ("in flight", "queued", "utilisation", "service time")
    if not set(fields) <= set(known):
        _reject("load-fields", f"{facts['load_fields']!r}: only {', '.join(known)} are known")
    facts |= {"load_fields": fields, "load_reports_come": "inline" if fields else "off"}
    names = [operation.name for operation in facts["operations"]]
    if len(set(names)) < len(names) or len(names) > 16:
        _reject("operation", "at most 16 operations, each name once")
    if facts["own_number"] >= facts["supervisors"]:
        _reject("own-number", f"{facts['own_number']}: must be below --supervisors ({facts['supervisors']})")
    if facts["worst_transit"] < facts["transit"]:
        _reject("worst-transit", f"{facts['worst_transit']}: must not be below --transit ({facts['transit']})")
    message_lines = facts["lines_per_message"] + 2 + len(names)
    if facts["queue_cap"] < 4 * message_lines:
        _reject("queue-cap", f"{facts['queue_cap']}: must hold a few messages, {4 * message_lines:g} lines or more")
    if 0 < facts["message_cap"] < 4:
        _reject("message-cap", f"{facts['message_cap']}: 0 for no cap, or 4 and more")
    return face.StartFacts(**facts)


def facts_from_flags(flags: dict[str, str | int | float | bool], operations: list[str]) -> face.StartFacts:
    """Start facts of flags that a file gives by name, parsed like those of a command line.

    Raises click.ClickException, which names the invalid flag."""
    values: dict[str, object] = {flag.fact: flag.param_type.convert(flag.default, None, None) for flag in FLAGS}
    by_name = {flag.name: flag for flag in FLAGS}
    for name, value in flags.items():
        if name not in by_name:
            raise click.BadParameter(f"flags: {name!r} is no flag of supervise")
        try:
            values[by_name[name].fact] = by_name[name].param_type.convert(value, None, None)
        except click.BadParameter as error:
            raise click.BadParameter(f"flags: {name}: {error.message}") from None
    values["operations"] = tuple(read_operation(text) for text in operations)
    return start_facts(values)


def _reject(flag: str, message: str) -> None:
    raise click.BadParameter(message, param_hint=f"--{flag}")
