"""Settings of other deployments: unusual but valid ones give usable facts, others a plain message and exit code 2."""

import os
import subprocess
import sys
from copy import deepcopy

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from driftshed import interface as face
from driftshed.adapter.facts import START_FACTS, BadInput
from driftshed.brain import Brain
from driftshed.node import config
from driftshed.node.codec import InvalidMessage, PlatformCodec
from driftshed.node.discovery import Roster
from tests.platforms import make_configuration, server_entry

NAMES = st.text(min_size=1, max_size=12)
AMOUNTS = st.one_of(
    st.integers(-2, 10**7),
    st.floats(allow_nan=True, allow_infinity=True),
    st.just(0),
    st.none(),
    st.booleans(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(NAMES, st.integers(), max_size=1),
)
PATHS = [path for path, *_ in START_FACTS]


def try_configuration(document: object) -> config.SupervisorOptions | str:
    """The parsed configuration, or the message with which the supervisor exits. With any configuration that is accepted
    the module must handle a list, joins, reports and timers."""
    try:
        parsed = config.parse(document, {})
    except BadInput as error:
        assert str(error) and "\n" not in str(error)
        return str(error)
    codec = PlatformCodec(parsed.facts, 0.0, parsed.names)
    roster = Roster(codec)
    servers = [server_entry(n, zone=zone, kind=parsed.names.kinds[0]) for n, zone in enumerate(parsed.names.zones[:3])]
    events = roster.apply({"version": 1, "full": True, "servers": servers})
    brain = Brain(parsed.facts, parsed.seed, 100.0)
    events += [face.Joined(k % len(parsed.facts.zones), True, k, 5.0) for k in range(min(3, parsed.facts.proxies))]
    events += [face.Heard(1, f"s-{n}".encode(), 10, 0.5, 0, 0.1, None) for n in range(len(servers))]
    events += [face.Demand(5, 0, 0.5, 0, place) for place in range(len(parsed.facts.operations))]
    orders = brain.handle(100.0, events)
    for now in (101.0, 103.5, 110.0):
        orders += brain.handle(now, [face.TimerDue(0)])
    for order in orders:
        msgspec.json.encode(codec.encode_order(order, 0))
    return parsed


def set_path(top: dict, path: str, value: object) -> None:
    *parents, last = path.split(".")
    for name in parents:
        top = top.setdefault(name, {}) if isinstance(top.get(name, {}), dict) else {}
    top[last] = value


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(PATHS), AMOUNTS), min_size=1, max_size=3))
@example([("domain.queueCap", 0)])
@example([("invariants.tipMultiple", 0)])
@example([("domain.linesPerS", -5)])
@example([("domain.proxies", 1e300)])
@example([("zones", [])])
@example([("invariants.askWithinUs", "\n")])
@example([("invariants.tipMultiple", 1.7e-205)])
def test_any_value_is_a_usable_fact_or_a_plain_message(changes):
    document = deepcopy(make_configuration())
    for path, value in changes:
        set_path(document["settings"], path, value)
    try_configuration(document)


LANE = st.fixed_dictionaries(
    {},
    optional={
        "name": NAMES,
        "sloUs": st.one_of(st.integers(-1, 10**7), st.none()),
        "deadlineUs": st.integers(0, 10**7),
        "worth": st.one_of(st.integers(-1, 9), st.none()),
        "lateWorth": st.floats(0, 1),
        "effect": st.sampled_from(["retryable", "dedup", "fragile", "odd"]),
        "windowUs": st.integers(0, 10**6),
        "dedupScope": st.sampled_from(["all", "zone", "cell"]),
    },
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(LANE, max_size=20), st.lists(NAMES, max_size=5), st.lists(NAMES, max_size=3))
def test_any_operations_zones_and_kinds_are_usable_or_refused_plainly(lanes, zones, kinds):
    document = deepcopy(make_configuration())
    document["settings"] |= {"lanes": lanes, "zones": zones, "hostTypes": kinds}
    document["known"] = {}
    try_configuration(document)


GOOD = st.fixed_dictionaries(
    {
        "sloUs": st.integers(1, 10**7),
        "deadlineUs": st.integers(1, 10**7),
        "worth": st.integers(0, 50),
        "lateWorth": st.floats(0, 1),
        "effect": st.sampled_from(["retryable", "dedup", "fragile"]),
        "windowUs": st.integers(1, 10**6),
        "dedupScope": st.sampled_from(["all", "zone", "cell"]),
    }
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(GOOD, min_size=1, max_size=16),
    st.lists(NAMES, min_size=16, max_size=16, unique=True),
    st.lists(NAMES, min_size=1, max_size=60, unique=True),
    st.lists(NAMES, min_size=1, max_size=4, unique=True),
)
def test_odd_but_legal_names_and_classes_are_served_under_the_names_they_have(lanes, names, zones, kinds):
    document = deepcopy(make_configuration())
    lanes = [lane | {"name": name} for lane, name in zip(lanes, names, strict=False)]
    document["settings"] |= {"lanes": lanes, "zones": zones, "hostTypes": kinds}
    document["known"] = {}
    parsed = try_configuration(document)
    assert isinstance(parsed, config.SupervisorOptions), parsed
    codec = PlatformCodec(parsed.facts, 0.0, parsed.names)
    for place, zone in enumerate(zones):
        assert codec.zones[zone] == place
    for place, lane in enumerate(lanes):
        rate = [b"RATE", b"id", b"0", b"lane", lane["name"].encode(), b"count", b"1", b"fail", b"0", b"over", b"500"]
        assert codec.decode_report(rate, None).operation == place
        op = codec.encode_order(face.SetLevel(0, 0.5, 1 << place, 1), 0)
        assert op["classes"] == [lane["name"]]


def test_a_load_field_of_the_deployments_own_costs_no_report():
    document = deepcopy(make_configuration())
    document["settings"]["report"]["fields"] = ["cpu_share", "x0"]
    parsed = try_configuration(document)
    codec = PlatformCodec(parsed.facts, 0.0, parsed.names)
    fields = {"site": "east", "target": "s-1", "count": "9", "fail": "0", "mean": "41.7", "over": "1000"}
    report = [b"LOAD", *(each.encode() for pair in fields.items() for each in pair), b"util"]
    assert codec.decode_report([*report, b"util:0.5,x0:7.25"], lambda name: True).load == (0.5, 7.25)
    for malformed in (b"util:0.5", b"util:0.5,x1:3", b"util:0.5,x0:1,x0:2", b"x0"):
        with pytest.raises(InvalidMessage):
            codec.decode_report([*report, malformed], lambda name: True)


@pytest.mark.parametrize(
    "overrides, expected",
    [
        ({"lanes": []}, "lanes"),
        ({"lanes": {"count": 10**9}}, "lanes"),
        ({"zones": ["a", "a"]}, "zones"),
        ({"lanes": [{"name": "a", "sloUs": 0, "worth": 1, "effect": "fragile"}]}, "lanes.0.sloUs"),
        ({"lanes": [{"name": "a", "sloUs": 5, "effect": "fragile"}]}, "lanes.0.worth"),
        ({"quantumUs": 0}, "quantumUs"),
        ({"domain": 5}, "do not specify domain"),
        ({"hostTypes": [""]}, "hostTypes"),
    ],
)
def test_a_refusal_names_the_field(overrides, expected):
    document = deepcopy(make_configuration())
    document["settings"] |= overrides
    refusal = try_configuration(document)
    assert isinstance(refusal, str) and expected in refusal


@pytest.mark.parametrize("text", [b"", b"[" * 100_000, b'{"settings": "\xff"}', b"null", b'{"settings": {}}'])
def test_a_wrong_file_ends_the_program_with_a_plain_message(tmp_path, text):
    file = tmp_path / "config.json"
    file.write_bytes(text)
    environment = {**os.environ, "LB_CONFIG": str(file)}
    done = subprocess.run([sys.executable, "-m", "driftshed.node"], env=environment, capture_output=True, timeout=60)
    assert done.returncode == 2 and done.stderr.startswith(b"driftshed: ") and done.stderr.count(b"\n") == 1
