"""Tests of traces: encoding of generated records, damage at every byte, format versions, clocks, writers on slow and
full disks, replay."""

import hashlib
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from driftshed import interface as face
from driftshed.brain import Brain
from driftshed.cli import main
from driftshed.trace import tools
from driftshed.trace.clocks import Offset, Unknown, estimate
from driftshed.trace.columns import MAX_RECORDS, Batch, TraceError, make_column, pack, unpack
from driftshed.trace.files import BlockCollector, TraceFile, TraceFileWriter
from driftshed.trace.framing import MAGIC, MAJOR, header_bytes, read_header
from driftshed.trace.fuzz import MAX_MEMORY_BYTES, fuzz
from driftshed.trace.generate import batches
from driftshed.trace.recording import Recording
from driftshed.trace.replay import Replay
from driftshed.trace.schema import STORED_KINDS, to_batches, to_rows
from driftshed.trace.tools import CutFilter
from driftshed.trace.writer import MAX_QUEUED_BATCHES, TraceWriter, recover_file
from tests.test_core import joined_instance, run_instance

GOLDEN = Path(__file__).parent / "golden"
INTS = st.integers(-(2**63), 2**63 - 1)
TEXT = st.text(max_size=20)
VALUES = {"t": INTS, "i": INTS, "f": st.floats(allow_nan=False), "s": TEXT, "b": st.binary(max_size=30)}
VALUES |= {kind.upper(): st.lists(VALUES[kind], max_size=4) for kind in "tis"}


def run(*arguments) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["trace", *map(str, arguments)])
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def write_trace(
    path: Path, rows: list, about: dict | None = None, minor: int = 0, records_per_block: int = 1000
) -> Path:
    """Writes (kind, source, row) tuples as a trace."""
    writer = TraceFileWriter(path, about or {"source": "test"}, minor)
    for start in range(0, len(rows), records_per_block):
        for batch in to_batches(rows[start : start + records_per_block]):
            writer.write_batch(batch)
    writer.close()
    return path


def invocation(n: int, at: float | None = None, source: str = "p", **more) -> tuple:
    at = round(1e9 + n / 100 if at is None else at, 6)
    row = {
        "at": at,
        "seq": n,
        "proxy": n % 3,
        "operation": ("look", "post")[n % 2],
        "key": f"household-{n % 7}",
        "took": round(0.1 + n / 1e6, 6),
        "outcome": "succeeded",
        "value": 1.5,
        "servers": ["a:1", "b:2"][: n % 3],
        "began": [0.0, 0.05][: n % 3],
        "spans": [0.05, 0.06][: n % 3],
        "outcomes": ["errored", "200"][: n % 3],
    }
    return "invocation", source, row | more


def rows_of(path: Path, scan: bool = False) -> list:
    with TraceFile(path, scan=scan) as file:
        return [(batch.kind, batch.source, row) for batch in file.batches() for row in to_rows(batch)]


# ---- encoding -------------------------------------------------------------------------------------------------------


@settings(max_examples=150, suppress_health_check=[HealthCheck.too_slow], deadline=None)
@given(st.data())
def test_any_columns_survive_encoding_and_decoding(data):
    count = data.draw(st.integers(0, 12))
    kinds = data.draw(st.lists(st.sampled_from(sorted(VALUES)), max_size=5))
    plain = {
        f"c{n}": (kind, data.draw(st.lists(VALUES[kind], min_size=count, max_size=count)))
        for n, kind in enumerate(kinds)
    }
    plain["at"] = "t", data.draw(st.lists(INTS, min_size=count, max_size=count))
    batch = Batch("k", "s", {name: (kind, make_column(kind, column)) for name, (kind, column) in plain.items()})
    decoded = unpack(pack(batch))
    assert [(name, kind) for name, (kind, _) in decoded.columns.items()] == [(n, k) for n, (k, _) in plain.items()]
    for name, (kind, column) in plain.items():
        actual = [row[name] for row in to_rows(decoded)]
        scale = {"t": lambda v: v / 1e6, "T": lambda v: [item / 1e6 for item in v]}.get(kind, lambda v: v)
        assert actual == [scale(value) for value in column]
    places = data.draw(st.lists(st.integers(0, count - 1), max_size=5) if count else st.just([]))
    rows = np.array(places, dtype=np.int64)
    assert to_rows(decoded.select(rows)) == [to_rows(decoded)[row] for row in rows]


def test_records_come_back_from_a_file_and_by_time(tmp_path):
    rows = [invocation(n, source=f"p{n % 2}") for n in range(2500)]
    path = write_trace(tmp_path / "a.dst", rows)
    key = lambda row: (row[1], row[2]["seq"])  # noqa: E731
    assert sorted(rows_of(path), key=key) == sorted(rows, key=key)
    with TraceFile(path) as file:
        assert file.indexed and [row["seq"] for _, row in file.records_by_time()] == list(range(2500))


def test_equal_times_and_records_out_of_order_keep_all_and_a_steady_order(tmp_path):
    rows = [invocation(n, at=1e9 + (n * 7 % 5) / 10, source=f"p{n % 3}") for n in range(300)]
    path = write_trace(tmp_path / "a.dst", rows)
    with TraceFile(path) as file:
        once = [(batch.source, row["seq"]) for batch, row in file.records_by_time()]
        assert once == [(batch.source, row["seq"]) for batch, row in file.records_by_time()] and len(set(once)) == 300
    same = write_trace(tmp_path / "b.dst", [invocation(n, at=1e9, source=f"p{2 - n % 3}") for n in range(30)])
    with TraceFile(same) as file:
        shown = [(batch.source, row["seq"]) for batch, row in file.records_by_time()]
    assert shown == sorted(shown)


@pytest.mark.parametrize("count", [0, 1])
def test_a_trace_of_no_and_of_one_record_goes_through_every_tool(tmp_path, count):
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(count)])
    for name in ("cut", "anonymise", "repair", "merge"):
        assert run(name, path, tmp_path / f"{name}.dst")[0] == 0
        assert len(rows_of(tmp_path / f"{name}.dst")) == count
    assert run("verify", path)[0] == run("summary", path)[0] == run("show", path)[0] == 0
    assert run("convert", path, tmp_path / "a.jsonl")[0] == 0
    assert run("convert", tmp_path / "a.jsonl", tmp_path / "b.dst")[0] == 0
    assert rows_of(tmp_path / "b.dst") == rows_of(path)
    assert run("replay", path)[0] == 3


# ---- damage ---------------------------------------------------------------------------------------------------------


def test_a_file_cut_at_every_byte_of_its_last_two_blocks_loses_what_was_cut_and_no_more(tmp_path):
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(60)], records_per_block=20)
    with TraceFile(path) as file:
        blocks, size = file.blocks, file.size
    data, cut, repaired = path.read_bytes(), tmp_path / "cut.dst", tmp_path / "mended.dst"
    for end in range(blocks[1].offset, size):
        cut.write_bytes(data[:end])
        intact = sum(block.offset + block.length <= end for block in blocks)
        result = tools.verify(cut)
        assert result.records == 20 * intact and result.last[2] == 20 * intact - 1 and result.index == "none"
        repaired.unlink(missing_ok=True)
        assert tools.repair(cut, repaired)[0] == 20 * intact
        with TraceFile(repaired) as file:
            assert file.indexed
        if end % 7 == 0:
            assert rows_of(repaired) == [invocation(n) for n in range(20 * intact)]
            assert recover_file(cut)[0] == intact and tools.verify(cut).index == "sound"


def test_a_flipped_bit_anywhere_is_found_the_block_named_and_the_rest_read(tmp_path):
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(60)], records_per_block=20)
    with TraceFile(path) as file:
        blocks, size, data_start = file.blocks, file.size, file.data_start
    data, broken = path.read_bytes(), tmp_path / "broken.dst"
    for at in range(size):
        broken.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
        if at < data_start:
            with pytest.raises(TraceError):
                tools.verify(broken)
            continue
        result = tools.verify(broken)
        hit = [block for block in blocks if block.offset <= at < block.offset + block.length]
        assert result.records == 60 - 20 * len(hit), at
        if hit:
            assert result.damages[0][0] == hit[0].offset and str(hit[0].offset) in result.damages[0][1]
        else:
            assert result.damages or result.index != "sound"


def test_an_index_that_does_not_match_its_file_is_ignored(tmp_path):
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(20)])
    other = write_trace(tmp_path / "b.dst", [invocation(n) for n in range(20, 50)])
    with TraceFile(other) as file:
        extra_block = file.read_bytes(file.data_start, file.blocks[0].length)
    original = path.read_bytes()
    path.write_bytes(original + extra_block)  # a block after the trailer
    assert len(rows_of(path)) == 50 and tools.verify(path).index == "none"
    with TraceFile(other) as file:
        data_start = file.data_start
    path.write_bytes(original[:data_start] + extra_block + original[data_start:])  # a block before those of the index
    assert len(rows_of(path)) == 50 and run("verify", path)[0] == 1


def test_the_fuzzer_finds_no_error_and_stays_within_its_memory_limit(tmp_path):
    result = fuzz(tmp_path, 60.0, 1, most=60)  # limited by files, since a busy machine reads fewer per second
    assert result.files > 50 and result.refused > result.files / 2 and result.most_bytes < MAX_MEMORY_BYTES


def test_a_block_that_declares_or_contains_too_much_is_refused(tmp_path):
    with pytest.raises(TraceError, match="more than a block may hold"):
        unpack(pack(Batch("k", "s", {"at": ("t", np.zeros(MAX_RECORDS + 1, dtype=np.int64))})))
    path = tmp_path / "a.dst"
    path.write_bytes(MAGIC + b"\1\0\0\0\xff\xff\xff\xff")
    assert run("verify", path)[0] == 2


# ---- versions -------------------------------------------------------------------------------------------------------


def newer_rows() -> list:
    """Rows as a newer minor version might write them: an unknown kind, and unknown columns of a known kind."""
    rows = [invocation(n, colour="green", lanes=["x"] * (n % 2)) for n in range(30)]
    return rows + [("weather", "p", {"at": 1e9 + n, "seq": 100 + n, "degrees": 20.5, "sky": b"blue"}) for n in range(5)]


def test_golden_files_of_this_and_of_a_newer_version_are_read(tmp_path):
    assert rows_of(GOLDEN / "v1.0.dst") == [invocation(n) for n in range(30)]
    assert sorted(map(str, rows_of(GOLDEN / "v1.9.dst"))) == sorted(map(str, newer_rows()))
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(30)])
    assert path.read_bytes() == (GOLDEN / "v1.0.dst").read_bytes()  # the encoding has not changed since


@pytest.mark.parametrize("tool", ["cut", "merge", "repair", "convert"])
def test_additions_of_a_newer_minor_version_pass_through_tools_unchanged(tmp_path, tool):
    path, out = GOLDEN / "v1.9.dst", tmp_path / "out.dst"
    if tool == "convert":
        assert run("convert", path, tmp_path / "a.jsonl")[0] == run("convert", tmp_path / "a.jsonl", out)[0] == 0
    elif tool == "cut":
        assert run("cut", path, out, "--from", 1e9, "--to", 2e9)[0] == 0
    else:
        assert run(tool, path, out)[0] == 0
    assert sorted(map(str, rows_of(out))) == sorted(map(str, newer_rows()))
    with TraceFile(out) as file:
        assert file.minor == 9


def test_a_newer_major_version_is_refused_with_a_clear_message(tmp_path):
    head = bytearray(header_bytes({}))
    head[8] = MAJOR + 1
    path = tmp_path / "a.dst"
    path.write_bytes(bytes(head))
    code, output = run("summary", path)
    assert code == 2 and f"trace format {MAJOR + 1}.0" in output and "use a newer one" in output
    with pytest.raises(TraceError, match="no trace file"):
        read_header(b"PK\3\4 something else entirely")


# ---- tools ----------------------------------------------------------------------------------------------------------


def test_cut_keeps_what_is_asked_for_and_every_gap(tmp_path):
    rows = [invocation(n) for n in range(300)]
    gap = ("gap", "p", {"at": 1e9 + 1, "seq": 0, "until": 1e9 + 1.5, "lost": 7, "why": "the disk is too slow"})
    note = ("note", "p", {"at": 1e9 + 1, "seq": 999, "text": "hello"})
    path = write_trace(tmp_path / "a.dst", [*rows, gap, note], records_per_block=50)

    def kept(*flags) -> list:
        out = tmp_path / f"{hashlib.md5(str(flags).encode()).hexdigest()}.dst"
        assert run("cut", path, out, *flags)[0] == 0
        got = rows_of(out)
        assert gap in got or "--from" in flags
        return [row for kind, _, row in got if kind == "invocation"]

    plain = [row for _, _, row in rows]
    assert kept("--from", 1e9 + 0.5, "--to", 1e9 + 2) == [r for r in plain if 1e9 + 0.5 <= r["at"] < 1e9 + 2]
    assert kept("--from", 0.5, "--to", 2, "--relative") == [r for r in plain if 1e9 + 0.5 <= r["at"] < 1e9 + 2]
    assert kept("--proxy", 1) == [r for r in plain if r["proxy"] == 1]
    assert kept("--server", "b:2") == [r for r in plain if "b:2" in r["servers"]]
    posts = [r for r in plain if r["operation"] == "post" and not r["proxy"]]
    assert kept("--operation", "post", "--proxy", 0) == posts
    assert kept("--kind", "note") == [] and kept("--instance", "p") == plain and kept("--instance", "q") == []
    assert run("cut", path, path)[0] == 2  # no file is overwritten


def test_anonymise_leaves_no_identifier_and_keeps_equal_ones_equal(tmp_path):
    random = Random(1)
    names = [f"household-{random.randrange(10**9)}" for _ in range(40)]
    rows = [invocation(n, key=random.choice(names)) for n in range(600)]
    rows += [("note", "p", {"at": 1e9, "seq": n, "text": f"seen {name}"}) for n, name in enumerate(names)]
    rows += [("gap", "p", {"at": 1e9, "seq": 0, "until": 1e9, "lost": 0, "why": f"no room for {names[0]}"})]
    rows += [("diary", "p", {"at": 1e9, "seq": 1, "of": names[1], "raw": names[2].encode()})]
    path = write_trace(tmp_path / "a.dst", rows, about={"source": "test", "owner": names[3]})
    for out in ("b.dst", "c.dst"):
        code, output = run("anonymise", path, tmp_path / out)
        assert code == 0 and json.loads(output)["dropped"]["note"] == 40
    with TraceFile(tmp_path / "b.dst") as file:
        layers = [str(file.about).encode(), *(pack(file.read(block)) for block in file.blocks)]
        layers.append((tmp_path / "b.dst").read_bytes())
    for name in names:
        assert not any(name.encode() in layer or name.partition("-")[2].encode() in layer for layer in layers)
    plain = [row["key"] for kind, _, row in rows if kind == "invocation"]
    pseudonyms = [row["key"] for kind, _, row in rows_of(tmp_path / "b.dst") if kind == "invocation"]
    assert len(set(zip(plain, pseudonyms, strict=True))) == len(set(plain)) == len(set(pseudonyms))
    other = [row["key"] for kind, _, row in rows_of(tmp_path / "c.dst") if kind == "invocation"]
    assert not set(pseudonyms) & set(other)  # each run uses another random key
    (tmp_path / "key").write_bytes(b"0123456789abcdef")
    for out in ("d.dst", "e.dst"):
        assert run("anonymise", path, tmp_path / out, "--key-file", tmp_path / "key")[0] == 0
    assert rows_of(tmp_path / "d.dst") == rows_of(tmp_path / "e.dst")
    assert len({len(key) for key in pseudonyms}) == 1 and sorted(set(pseudonyms), key=pseudonyms.index) != sorted(
        set(pseudonyms)
    )


def test_summary_counts_records(tmp_path):
    path = write_trace(tmp_path / "a.dst", [invocation(n) for n in range(300)])
    result = json.loads(run("summary", path)[1])
    assert result["records"] == 300 and result["kinds"] == {"invocation": 300}
    assert result["operations"]["look"]["count"] == 150 and result["operations"]["look"]["value"] == 225
    assert (
        abs(result["operations"]["post"]["p50_s"] - 0.1) < 0.007 and result["operations"]["look"]["tries_each"] == 1.0
    )
    assert result["from"] == 1e9 and result["to"] == 1e9 + 2.99 and result["servers"] == {"a:1": 200, "b:2": 100}


def test_verify_reports_missing_records_without_a_gap(tmp_path):
    rows = [invocation(n) for n in range(100) if n not in (40, 41)]
    path = write_trace(tmp_path / "a.dst", rows)
    assert tools.verify(path).missing == {"p": 2} and run("verify", path)[0] == 1
    gap = ("gap", "p", {"at": 1e9, "seq": 0, "until": 1e9, "lost": 2, "why": "the disk is too slow"})
    assert run("verify", write_trace(tmp_path / "b.dst", [*rows, gap]))[0] == 0


def test_invalid_lines_are_reported_by_number_and_leave_no_file(tmp_path):
    first, lines = '{"trace":{}}', tmp_path / "a.jsonl"
    for text, expected in (
        ("nonsense", "line 1"),
        ('{"kind":"note"}', "line 1"),
        (f"{first}\n[1]", "line 2"),
        ("", "no line"),
        (f'{first}\n{{"kind":"note","source":"p","at":1.0}}', "has the fields"),
        (f'{first}\n{{"kind":"note","types":{{"at":"z"}}}}', "types are of"),
        (f'{first}\n{{"kind":"note","source":"p","at":"x","seq":1,"text":"t"}}', "type t"),
    ):
        lines.write_text(text)
        code, output = run("convert", lines, tmp_path / "out.dst")
        assert code == 2 and expected in output and not (tmp_path / "out.dst").exists(), text


# ---- clocks ---------------------------------------------------------------------------------------------------------


def random_messages(
    random: Random, offset: float, drift: float, count: int = 400, max_transit: float = 0.02
) -> tuple[list, list]:
    """Messages in both directions between two halls; each takes at least 0.3 ms."""
    forward, backward = [], []
    for n in range(count):
        at = n * 0.5
        for direction in (forward, backward):
            sent, transit = at + random.random(), 0.0003 + random.random() ** 3 * max_transit
            clock = lambda t: t + offset + drift * t  # noqa: E731
            direction.append((sent, clock(sent + transit)) if direction is forward else (clock(sent), sent + transit))
    return forward, backward


@pytest.mark.parametrize("seed", range(30))
def test_offset_and_drift_are_estimated_within_the_bound_and_no_message_arrives_before_it_was_sent(seed):
    random = Random(seed)
    offset, drift = random.uniform(-100, 100), random.uniform(-2e-4, 2e-4)
    forward, backward = random_messages(random, offset, drift)
    result = estimate(forward, backward)
    assert isinstance(result, Offset) and abs(result.drift - drift) < 2e-5 and result.messages == (400, 400)
    for moment in (0.0, 50.0, 100.0, 200.0):
        assert abs(result.at(moment) - offset - drift * moment) <= result.bound + 1e-9 < 0.03
    assert all(received - result.at(sent) >= sent - 1e-9 for sent, received in forward)
    assert all(received >= sent - result.at(received) - 1e-9 for sent, received in backward)


def test_clocks_that_cannot_be_compared_are_reported_as_unknown():
    forward, backward = random_messages(Random(1), 5.0, 0.0)
    assert isinstance(estimate([], []), Unknown) and isinstance(estimate(forward, []), Unknown)
    stepped_forward = [(sent, received + 3.0 * (n > 200)) for n, (sent, received) in enumerate(forward)]
    stepped_backward = [(sent + 3.0 * (n > 200), received) for n, (sent, received) in enumerate(backward)]
    assert "clock" in estimate(stepped_forward, stepped_backward).why


def write_hall_traces(folder: Path, offset: float, share: bool = True) -> tuple[Path, Path]:
    """Writes the traces of messages and invocations of two halls; the second clock is ahead by `offset`. Without
    `share` the traces have no message in common."""
    random, one, two = Random(3), [], []
    for n in range(200):
        sent_at = 1e9 + n * 0.1
        name = f"m{n}" if share else f"only-{n}"
        received_at = sent_at + 0.001 + random.random() / 100
        one.append(("message", "one", {"at": sent_at, "seq": 3 * n, "id": name, "sent": 1}))
        two.append(
            ("message", "two", {"at": received_at + offset, "seq": 3 * n, "id": name * share or f"x{n}", "sent": 0})
        )
        replied_at = received_at + 0.002
        two.append(("message", "two", {"at": replied_at + offset, "seq": 3 * n + 1, "id": f"{name}/b", "sent": 1}))
        reply_received_at = replied_at + 0.001 + random.random() / 100
        reply_name = f"{name}/b" * share or f"y{n}"
        one.append(("message", "one", {"at": reply_received_at, "seq": 3 * n + 1, "id": reply_name, "sent": 0}))
        two.append(invocation(3 * n + 2, at=received_at + 0.001 + offset, source="two"))
    return write_trace(folder / "one.dst", one, records_per_block=150), write_trace(
        folder / "two.dst", two, records_per_block=150
    )


def test_traces_of_two_halls_are_merged_on_one_clock_with_causes_before_effects(tmp_path):
    one, two = write_hall_traces(tmp_path, 17.25)
    code, output = run("merge", one, two, tmp_path / "both.dst")
    clock = json.loads(output)["clocks"][0]
    assert code == 0 and abs(clock["offset_s"] - 17.25) <= clock["bound_s"] < 0.01
    with TraceFile(tmp_path / "both.dst") as file:
        order = [(row["id"], row["sent"]) for batch, row in file.records_by_time({"message"})]
        assert file.about["clocks"]["two.dst"]["messages"] and sum(1 for _ in file.records_by_time()) == 1000
    places = {name: place for place, name in enumerate(order)}
    assert all(places[name, 1] < places[name, 0] for name, sent in order)


def test_halls_that_share_nothing_are_not_ordered(tmp_path):
    one, two = write_hall_traces(tmp_path, 17.25, share=False)
    code, output = run("merge", one, two, tmp_path / "both.dst")
    assert code == 0 and "unknown" in output and "share no message" in output
    with TraceFile(tmp_path / "both.dst") as file:
        sources = [block.meta.source for block in file.blocks]
    assert sources == sorted(sources)  # all blocks of one hall, then those of the other
    assert min(row["at"] for kind, source, row in rows_of(tmp_path / "both.dst") if source == "two") > 1e9 + 17


# ---- writers --------------------------------------------------------------------------------------------------------


def wait_until(condition, timeout: float = 10.0) -> None:
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def test_a_writer_rotates_by_size_and_continues_after_its_last_file(tmp_path):
    for _ in range(2):
        writer = TraceWriter(tmp_path, "p", max_file_bytes=2000)
        for n in range(40):
            writer.add("note", 1e9 + n, text=f"{n} " + os.urandom(200).hex())
            writer.flush()
            wait_until(lambda writer=writer: writer.queue.empty())
        assert writer.close() and writer.lost == 0
    files = sorted(tmp_path.glob("*.dst"))
    assert len(files) > 4 and [int(file.stem[-6:]) for file in files] == list(range(1, len(files) + 1))
    assert sum(len(rows_of(file)) for file in files) == 80
    assert all(tools.verify(file).index == "sound" for file in files)


class FaultyDisk(TraceFileWriter):
    """A disk that is slow, or full. `may_write`: None, or a function that delays writes until it returns true."""

    has_room, may_write = True, None

    def _write(self, data: bytes) -> None:
        while FaultyDisk.may_write and not FaultyDisk.may_write():
            time.sleep(0.005)
        if not FaultyDisk.has_room:
            raise OSError(28, "No space left on device")
        super()._write(data)


def count_kept_and_lost(folder: Path) -> tuple[int, int]:
    rows = [row for file in folder.glob("*.dst") for row in rows_of(file)]
    return len(rows) - sum(kind == "gap" for kind, _, _ in rows), sum(r["lost"] for kind, _, r in rows if kind == "gap")


def test_a_slow_disk_drops_records_and_a_gap_reports_them(tmp_path):
    released = []
    FaultyDisk.may_write = lambda: bool(released)
    try:
        writer = TraceWriter(tmp_path, "p", opener=FaultyDisk)
        for n in range(3 * MAX_QUEUED_BATCHES):
            writer.add("note", 1e9 + n, text="x")
            writer.flush()  # never blocks
        assert writer.lost >= MAX_QUEUED_BATCHES and len(writer.rows) == 0
        released.append(1)
        wait_until(lambda: writer.queue.empty())
        writer.add("note", 2e9, text="y")
        assert writer.close()
    finally:
        FaultyDisk.may_write = None
    kept, lost = count_kept_and_lost(tmp_path)
    assert lost == writer.lost and kept + lost == 3 * MAX_QUEUED_BATCHES + 1
    assert all(not tools.verify(file).missing for file in tmp_path.glob("*.dst"))


def test_a_full_disk_is_reported_by_a_gap_once_there_is_room(tmp_path):
    try:
        writer = TraceWriter(tmp_path, "p", opener=FaultyDisk)
        for n in range(30):
            FaultyDisk.has_room = not 10 <= n < 20
            writer.add("note", 1e9 + n, text="x")
            writer.flush()
            before = writer.written + writer.lost
            wait_until(lambda before=before: writer.queue.empty() and writer.written + writer.lost >= before)
            time.sleep(0.02)
        assert writer.close() and "No space" in writer.last_error
    finally:
        FaultyDisk.has_room = True
    kept, lost = count_kept_and_lost(tmp_path)
    assert (kept, lost) == (20, 10)


FILE_SIZE_LIMIT_PROGRAM = """
import resource, signal, sys, time
from pathlib import Path
from driftshed.trace.writer import TraceWriter
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
resource.setrlimit(resource.RLIMIT_FSIZE, (6000, 6000))
import os
writer = TraceWriter(Path(sys.argv[1]), "p")
for n in range(60):
    writer.add("note", 1e9 + n, text=os.urandom(100).hex())
    writer.flush()
    while not writer.queue.empty(): time.sleep(0.005)
time.sleep(0.1)
print(writer.lost, flush=True)
"""


def test_a_file_at_the_size_limit_of_the_process_stays_readable(tmp_path):
    lost = int(
        subprocess.run(
            [sys.executable, "-c", FILE_SIZE_LIMIT_PROGRAM, str(tmp_path)], capture_output=True, text=True
        ).stdout
    )
    kept, _ = count_kept_and_lost(tmp_path)
    assert lost > 20 and kept + lost == 60 and not tools.verify(next(tmp_path.glob("*.dst"))).damages


# ---- replay ---------------------------------------------------------------------------------------------------------


def record_instance(folder: Path, seconds: float = 12.0, brain=Brain) -> Path:
    """Records an instance; returns the trace file."""
    instance, holders = joined_instance(brain=brain)
    writer = TraceWriter(folder, "supervisor-0")
    Recording(instance, writer)
    instance.brain, instance.pending_events = brain(instance.facts, 7, 0.0), [instance.roster.snapshot()]
    instance.pending_events += [face.Joined(record.zone, True, record.proxy, 5.0) for record in instance.hub.restart()]
    run_instance(instance, seconds, holders, broken={"10.0.0.5:80"})
    assert writer.close()
    return folder / "supervisor-0-000001.dst"


def replay_verdicts(path: Path, **options) -> list:
    replay = Replay(**options)
    with TraceFile(path) as file:
        for batch, row in file.records_by_time({"start", "turn"}):
            replay.start(row) if batch.kind == "start" else replay.turn(row)
    return replay.verdicts()


def test_a_recording_replays_to_the_same_orders(tmp_path):
    path = record_instance(tmp_path)
    (verdict,) = replay_verdicts(path)
    assert verdict.said == "same" and verdict.turns > 50
    assert run("replay", path)[0] == 0


def test_a_module_that_decides_otherwise_is_found_at_its_first_turn(tmp_path):
    class Other(Brain):
        def handle(self, now, events):
            orders = super().handle(now, events)
            return [o._replace(weight=o.weight * 2) if isinstance(o, face.SetLine) and now > 3 else o for o in orders]

    (verdict,) = replay_verdicts(record_instance(tmp_path), make_brain=Other)
    assert verdict.said == "differs" and 3 < float(verdict.why.split(" at ")[1].split(" s")[0]) < 7
    assert "weight" in verdict.why


def test_a_module_that_raised_raises_again_in_replay_and_restarts(tmp_path):
    class Faulty(Brain):
        def __init__(self, facts, seed, now):
            super().__init__(facts, seed, now)
            self.first = seed == 7

        def handle(self, now, events):
            if now > 4.0 and self.first:
                raise KeyError("broken")
            return super().handle(now, events)

    path = record_instance(tmp_path, brain=Faulty)
    results = replay_verdicts(path, make_brain=Faulty)
    assert [(v.begin, v.said) for v in results] == [(0, "same"), (1, "same")] and all(v.turns for v in results)
    assert replay_verdicts(path)[0].said == "differs" and "raised" in replay_verdicts(path)[0].why


def test_replay_reports_unknown_where_it_cannot_compare(tmp_path):
    path = record_instance(tmp_path)
    assert (
        replay_verdicts(path, core="another")[0].said == "unknown"
        and "core" in replay_verdicts(path, core="another")[0].why
    )
    assert replay_verdicts(path, core="another", other_core=True)[0].said == "same"
    late = tmp_path / "late.dst"
    tools.cut(path, late, CutFilter(kinds=frozenset({"turn"})))
    (verdict,) = replay_verdicts(late)
    assert verdict.said == "unknown" and "start is not in the trace" in verdict.why
    rows = [row for row in rows_of(path) if row[2].get("turn") not in (20, 21)]
    (verdict,) = replay_verdicts(write_trace(tmp_path / "holes.dst", rows))
    assert (verdict.said, verdict.turns) == ("unknown", 20) and "turns 20 to 21 are missing" in verdict.why
    assert run("replay", tmp_path / "holes.dst")[0] == 3


def test_a_supervisor_killed_while_it_records_leaves_a_trace_that_replays_to_its_end(tmp_path):
    from tests.test_day import SMALL_SCRIPT

    script = tmp_path / "small.toml"
    kill = '\n[[troubles]]\ntype = "kill"\nat = 5.5\ndown = 1.0\n'
    script.write_text(SMALL_SCRIPT.replace("seconds = 9", "seconds = 8") + kill)
    day = subprocess.run(
        [sys.executable, "-m", "driftshed.cli", "day", str(script), "--trace", str(tmp_path / "t")],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert day.returncode == 0, day.stdout
    files = sorted((tmp_path / "t").glob("supervisor-*.dst"))
    assert len(files) == 2 and tools.verify(files[0]).index == "sound"  # closed by the next start
    code, output = run("replay", *files)
    results = [json.loads(line) for line in output.splitlines()]
    assert (
        code == 0 and [row["said"] for row in results] == ["same", "same"] and all(row["turns"] > 10 for row in results)
    )
    proxies = sorted((tmp_path / "t").glob("proxy-*.dst"))
    kinds = [json.loads(run("summary", file)[1])["kinds"] for file in proxies]
    assert len(proxies) == 4 and sum(each["invocation"] for each in kinds) > 300
    merged = json.loads(run("merge", files[0], proxies[0], tmp_path / "both.dst")[1].splitlines()[-1])
    assert abs(merged["clocks"][0]["offset_s"]) <= merged["clocks"][0]["bound_s"] + 1e-3 < 0.05


def test_generated_traces_are_the_same_for_a_seed(tmp_path):
    for name in ("a", "b"):
        collector = BlockCollector(TraceFileWriter(tmp_path / name, {}))
        for batch in batches(20000, 5):
            collector.add(batch)
        collector.close()
    assert (tmp_path / "a").read_bytes() == (tmp_path / "b").read_bytes()
    with TraceFile(tmp_path / "a") as file:
        assert set(next(file.batches()).columns) == set(STORED_KINDS["invocation"])
