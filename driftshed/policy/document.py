"""The policy of a fleet as one document: what all supervisors go by alike. Free of I/O.

What belongs to one process (addresses, folders, its number) stays with its flags. A document is a TOML file of form 1;
`canonical` is the one text that all who hold the same policy get, and `digest` its name."""

from __future__ import annotations

import hashlib
import re
import tomllib
from typing import Annotated

import click
import msgspec
from msgspec import Meta, Struct

from driftshed import interface as face
from driftshed.core.carrying import FREE
from driftshed.evacuation.places import read_regions
from driftshed.evacuation.stages import read_limits
from driftshed.supervisor.flags import FLAGS, OperationFlag, facts_of

FORM = 1  # of documents that this build reads
MOST_BYTES = 32768  # of a canonical text
MOST_OPERATIONS = 16
OWN = {"own-number", "supervisors"}  # flags that stay with a process, or follow from the fleet's roll
# What may change in a fleet that runs; the rest is built into what instances are at their start.
WHILE_RUNNING = {flag.name for flag in FLAGS if flag.fact in FREE}
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class BadDocument(ValueError):
    """A document that cannot be taken; the text says where and what to do."""


class Operation(OperationFlag, forbid_unknown_fields=True):
    """As `--operation` says it; `retired`: it is no longer asked for, and the next document may leave it out."""

    retired: bool = False


class Document(Struct, forbid_unknown_fields=True, kw_only=True):
    """`settings`: by the names of `supervise`'s flags, without the dashes in front. `zones` and `regions`: limits of
    leaving zones, and regions. `work`: limits of work on machines. `ahead`: seconds from the moment that a supervisor
    reads a change to be settled until it goes by it. `despite_after`: seconds that a supervisor must have been away
    before a change may be made without its word."""

    form: Annotated[int, Meta(ge=1)] = FORM
    operations: Annotated[list[Operation], Meta(min_length=1, max_length=MOST_OPERATIONS)]
    settings: dict[str, bool | int | float | str] = {}
    evacuation: dict[str, float] = {}
    regions: dict[Name, list[Name]] = {}
    work: dict[str, float] = {}
    ahead: Annotated[float, Meta(ge=0, le=60)] = 0.5
    despite_after: Annotated[float, Meta(gt=0, le=86400)] = 60.0
    guard_for: Annotated[float, Meta(ge=0, le=3600)] = 10.0  # seconds in which a fault of the module takes it back


def read(text: str) -> Document:
    """A document from TOML; BadDocument names line, field and remedy."""
    if len(text) > 4 * MOST_BYTES:
        raise BadDocument(f"{len(text)} characters: a policy of at most {MOST_BYTES} bytes is wanted")
    try:
        given = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise BadDocument(f"no TOML: {error}") from None
    form = given.get("form", FORM)
    if isinstance(form, int) and form > FORM:
        raise BadDocument(f"{_line(text, 'form')}form {form} is newer than this build reads ({FORM}): update driftshed")
    try:
        found = msgspec.convert(given, Document, strict=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise BadDocument(_where(text, str(error))) from None
    check_alone(found, text)
    return found


def parse(canonical_text: str) -> Document:
    """A document from its canonical text, as records and files hold it."""
    try:
        form = msgspec.json.decode(canonical_text, type=dict).get("form")
        if isinstance(form, int) and form > FORM:
            raise BadDocument(f"form {form} is newer than this build reads ({FORM}): update driftshed")
        found = msgspec.json.decode(canonical_text, type=Document)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise BadDocument(f"no policy: {error}") from None
    check_alone(found)
    return found


def canonical(document: Document) -> str:
    """The one text of a document: every field, sorted, numbers as short as they can be."""
    return msgspec.json.encode(_plain(msgspec.to_builtins(document)), order="sorted").decode()


def _plain(value: object) -> object:
    """Guards against two texts of one policy: 2 and 2.0 are the same."""
    if isinstance(value, dict):
        return {key: _plain(each) for key, each in value.items()}
    if isinstance(value, list):
        return [_plain(each) for each in value]
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53:
        return int(value)
    return value


def digest(document: Document) -> str:
    return hashlib.sha256(canonical(document).encode()).hexdigest()[:16]


def flat(document: Document) -> dict[str, object]:
    """Every value by its path; operations by name, in their order."""
    found: dict[str, object] = {}

    def walk(path: str, value: object) -> None:
        if isinstance(value, dict):
            for key, each in sorted(value.items()):
                walk(f"{path}.{key}" if path else key, each)
        else:
            found[path] = value

    plain = _plain(msgspec.to_builtins(document))
    for place, each in enumerate(plain.pop("operations")):
        walk(f"operations.{each['name']}", each | {"place": place})
    walk("", plain)
    return found


def difference(old: Document | None, new: Document) -> list[tuple[str, object, object]]:
    """What a document changes: path, what it was, what it is; None where there was or is nothing."""
    before, after = {} if old is None else flat(old), flat(new)
    return [
        (path, before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if path not in before or path not in after or before[path] != after[path]
    ]


def of_flags(flags: dict[str, bool | int | float | str], operations: list[str]) -> Document:
    """A document that says what flags of `supervise` say; BadDocument where they cannot be one."""
    try:
        rows = []
        for text in operations:
            name, _, rest = text.partition(":")
            given = dict(part.split("=", 1) for part in rest.split(",") if part)
            rows.append(msgspec.convert({"name": name, **given}, Operation, strict=False))
        document = Document(operations=rows, settings={key: value for key, value in flags.items() if key not in OWN})
    except (ValueError, msgspec.ValidationError) as error:
        raise BadDocument(str(error)) from None
    check_alone(document)
    return document


def as_toml(document: Document) -> str:
    """A document as a file to edit; what it leaves out holds anyway."""
    plain, lines = _plain(msgspec.to_builtins(document)), []
    value = lambda each: msgspec.json.encode(each).decode()  # noqa: E731
    operations = plain.pop("operations")
    lines += [f"{key} = {value(each)}" for key, each in plain.items() if not isinstance(each, dict)]
    for row in operations:
        lines += ["", "[[operations]]", *(f"{key} = {value(each)}" for key, each in row.items() if each is not None)]
    for key, table in plain.items():
        if isinstance(table, dict) and table:
            lines += ["", f"[{key}]", *(f"{name} = {value(each)}" for name, each in table.items())]
    return "\n".join(lines) + "\n"


def facts(document: Document, own_number: int = 0, supervisors: int = 1) -> face.StartFacts:
    """The start facts of a supervisor that goes by the document; BadDocument where two settings do not go together."""
    flags = document.settings | {"own-number": own_number, "supervisors": max(supervisors, own_number + 1)}
    texts = []
    for each in document.operations:
        fields = msgspec.to_builtins(each)
        parts = [
            f"{key}={str(value).lower() if isinstance(value, bool) else value}"
            for key, value in fields.items()
            if key not in ("name", "retired") and value is not None
        ]
        texts.append(f"{each.name}:{','.join(parts)}")
    try:
        return facts_of(flags, texts)
    except click.ClickException as error:
        raise BadDocument(error.format_message()) from None


def check_alone(document: Document, text: str = "") -> None:
    """What one document must keep by itself; BadDocument with line and remedy."""
    known = {flag.name for flag in FLAGS} - OWN
    for name in document.settings:
        if name not in known:
            where, near = _line(text, name), _near(name, known)
            raise BadDocument(f"{where}settings.{name}: no setting of a policy; there is {near}")
    names = [each.name for each in document.operations]
    for name in names:
        if names.count(name) > 1:
            raise BadDocument(f"{_line(text, name)}operations: {name!r} stands twice; name each once")
    start = facts(document)
    try:
        read_regions(regions_text(document), start.zones)
        read_limits(limits_text(document))
    except ValueError as error:
        raise BadDocument(f"regions or evacuation: {error}") from None
    if len(canonical(document)) > MOST_BYTES:
        raise BadDocument(f"{len(canonical(document))} bytes, {MOST_BYTES} at the most: put less into it")


def regions_text(document: Document) -> str:
    return ",".join(f"{name}={'+'.join(zones)}" for name, zones in document.regions.items())


def limits_text(document: Document) -> str:
    return ",".join(f"{name}={value}" for name, value in document.evacuation.items())


def never_met(document: Document) -> list[str]:
    """What can never be kept under a document, however the fleet behaves."""
    start, found = facts(document), []
    whole = start.standing_lines * 2 + len(start.operations) + start.lines_per_message + 2
    if whole > start.queue_cap:
        found.append(f"queue-cap {start.queue_cap:g} is under one whole table ({whole:g} lines): raise it")
    # An urgent order waits at most behind a full channel, then takes its way to the proxy.
    worst = start.queue_cap / start.lines_per_second + start.worst_transit + start.tick
    if worst > start.drain_grace:
        found.append(
            f"drain-grace {start.drain_grace:g} s is under the channel's worst time of {worst:.2f} s "
            "(queue-cap over lines-per-second, worst-transit): raise it or the pace"
        )
    if start.bare_for < start.drain_grace / 2:
        found.append(f"bare-for {start.bare_for:g} s is under half of drain-grace: a drain may take longer")
    for each in document.operations:
        if each.timeout < start.connect_timeout:
            found.append(f"operation {each.name}: its timeout of {each.timeout:g} s is under connect-timeout")
    if document.evacuation.get("lasting", 4.0) < 2 * start.report_period:
        found.append("evacuation.lasting is under two report periods: no zone can be seen to be ill for so long")
    return found


def barred(old: Document, new: Document) -> list[str]:
    """What a change may not do to a fleet that runs, each with its remedy."""
    found = []
    for path, before, after in difference(old, new):
        if path.startswith("settings.") and path.removeprefix("settings.") not in WHILE_RUNNING:
            found.append(
                f"{path} is {before!r} and would be {after!r}: it holds from a supervisor's start; give it to "
                "each and restart them one by one, then propose it"
            )
    names, kept = [each.name for each in old.operations], [each.name for each in new.operations]
    for each in old.operations:
        if each.name not in kept and not each.retired:
            found.append(f"operation {each.name} is in use: say `retired = true` first, then leave it out")
    still = [name for name in names if name in kept]
    if kept[: len(still)] != still or names[: len(still)] != still:
        found.append("operations keep their places: add new ones behind, and leave out the last alone")
    return found


def _near(name: str, known: set[str]) -> str:
    alike = [each for each in known if set(each.split("-")) & set(re.split("[-_ ]", name))]
    return ", ".join(sorted(alike or known))


def _line(text: str, word: str) -> str:
    """ "line N: " where the word stands in the file."""
    pattern = re.compile(rf"(^|[\s\[.\"']){re.escape(word)}([\s\].\"'=]|$)")
    for number, line in enumerate(text.splitlines(), 1):
        if pattern.search(line.split("#")[0]):
            return f"line {number}: "
    return ""


def _where(text: str, said: str) -> str:
    """A schema's word with the line of the field that it names, and what fields there are where one is unknown."""
    unknown = re.search(r"unknown field `([^`]+)`", said)
    path = re.search(r"at `\$\.?([^`]*)`", said)
    words = [unknown.group(1)] if unknown else re.split(r"[.\[\]]+", path.group(1))[::-1] if path else []
    line = next((found for word in words if word and not word.isdigit() and (found := _line(text, word))), "")
    remedy = "; take it out, or see docs/policy.md for the fields there are" if unknown else ""
    return f"{line}{said}{remedy}"
