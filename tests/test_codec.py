"""The codec against the frames in the documentation of the simulator's protocol, and against malformed ones."""

import io
import struct

import pytest

from driftshed import interface as face
from driftshed.adapter import loop
from driftshed.adapter.codec import EVENTS, BadInput, decode_batch, encode_reply, read_facts
from tests.helpers import FACTS, SimulatedFleet

BATCH = bytes.fromhex(
    "5a5c800000000000 03000000 0501 20000000 03000000 01000000 0a124a07931f 0e000000 40420f00 00 7abc0000 01 0000e040"
    "0b01 0c000000 03000000 4d00000000000000 0a01 06000000 05000000 2900"
)
REPLY = bytes.fromhex(
    "51000000 03000000 0701 10000000 03000000 0a9011f2bc1f 0000403f 7500"
    "0001 14000000 03000000 4d00000000000000 7afd870000000000"
    "0301 17000000 05000000 1100 74776f2073657276657273206b6e6f776e"
)
DOCUMENTED_EVENTS = {  # event records of the documentation, without code and length
    "03000000 29000000 02 02000000 0a124a07931f 00 0000 0000000000000000 0000 02 0000803f"
    "0a9011f2bc1f 01 0000 20145d0000000000 0000 02 0000c03f": (
        259,
        face.Listing(
            41,
            2,
            (
                face.Entry(b"\x0a\x12\x4a\x07\x93\x1f", 0, 0, None, 0, 2, 1.0),
                face.Entry(b"\x0a\x90\x11\xf2\xbc\x1f", 1, 0, 6.1, 0, 2, 1.5),
            ),
        ),
    ),
    "03000000 0a9011f2bc1f 00 78050000 01 0000e040": (258, face.Probed(b"\x0a\x90\x11\xf2\xbc\x1f", 0, 0.0014, (7.0,))),
    "03000000 00 01 2900 0000d040": (260, face.Joined(0, True, 41, 6.5)),
    "03000000 09000000 2900 80841e00 00000000 0000": (265, face.Demand(9, 41, 2.0, 0, 0)),
    "03000000 7500 0000 17000000 02000000 40420f00": (268, face.SliceDemand(117, 0, 23, 2, 1.0)),
    "03000000 7500 01": (269, face.SliceGiven(117, True)),
    "03000000 7500 0a9011f2bc1f 0000803f": (263, face.SliceLine(117, b"\x0a\x90\x11\xf2\xbc\x1f", 1.0)),
    "03000000 0c000000 2900 544b0600": (256, face.Applied(12, 41, 0.4125)),
    "03000000 02000000 0400 68692037": (262, face.PeerNote(2, b"hi 7")),
    "03000000": (264, face.Killed()),
}
DOCUMENTED_ORDERS = {
    "0101 0a000000 03000000 0a9011f2bc1f": face.Probe(b"\x0a\x90\x11\xf2\xbc\x1f"),
    "0201 0e000000 03000000 ffffffff 0400 68692037": face.TellPeer(0xFFFFFFFF, b"hi 7"),
    "0501 05000000 03000000 01": face.Subscribe(True),
    "0601 04000000 03000000": face.FetchList(),
    "0801 06000000 03000000 7500": face.ClearTable(117),
    "0a01 0a000000 03000000 0000 7500 2900": face.UseTable(0, 117, 41),
    "0901 0b000000 03000000 01 0a9011f2bc1f": face.Withdraw(True, b"\x0a\x90\x11\xf2\xbc\x1f"),
    "0b01 0d000000 03000000 7500 0000403f 0200 01": face.SetLevel(117, 0.75, 2, 1),
    "0c01 09000000 03000000 00 0c000000": face.Mark(False, 12),
}


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<HI", code, len(fields)) + fields


def batch(*records: bytes) -> bytes:
    return struct.pack("<QI", 5_000_000, len(records)) + b"".join(records)


def test_documented_batches_and_replies():
    now, events = decode_batch(BATCH)
    assert now == 8.412250 and [instance for instance, _ in events] == [3, 3, 5]
    assert events[0][1] == face.Heard(1, b"\x0a\x12\x4a\x07\x93\x1f", 14, 1.0, 0, 0.04825, (7.0,))
    assert [event for _, event in events[1:]] == [face.TimerDue(0x4D), face.Left(41)]
    line, timer = face.SetLine(b"\x0a\x90\x11\xf2\xbc\x1f", 0.75, 117), face.SetTimer(0x4D, 8.912250)
    assert encode_reply([(3, line), (3, timer), (5, face.Log("two servers known"))]) == REPLY
    assert encode_reply([]) == bytes.fromhex("04000000 00000000")


def test_documented_records():
    for text, (code, event) in DOCUMENTED_EVENTS.items():
        assert decode_batch(batch(record(code, bytes.fromhex(text))))[1] == [(3, event)]
    for text, order in DOCUMENTED_ORDERS.items():
        assert encode_reply([(3, order)])[8:] == bytes.fromhex(text)


def test_settings_skip_what_is_unknown_and_keep_what_is_absent():
    facts = read_facts(FACTS + "some.later.key=1\nlanes.0.windowUs=\n")
    assert facts.drain_grace == 2.0 and facts.least_connections is None
    assert [op.repeat_window for op in facts.operations] == [None, 0.9, None]
    assert [op.writes for op in facts.operations] == [False, True, True]


@pytest.mark.parametrize(
    "body, expected",
    [
        (BATCH[:-1], "record 3 of 3"),
        (BATCH + b"\0", "1 bytes after the last"),
        (batch(record(266, bytes.fromhex("03000000 2900 00"))), "1 bytes too many"),
        (batch(record(266, bytes.fromhex("03000000 29"))), "2 bytes expected"),
        (batch(record(259, bytes.fromhex("03000000 29000000 01 ffff0000"))), "bytes expected"),
        (batch(record(266, bytes.fromhex("03000000 2900"))), "instance 3, which was never started"),
        (batch(record(257, bytes.fromhex("03000000 0100000000000000 09000000") + b"az=plenty")), "az=plenty"),
    ],
)
def test_bad_frames_end_the_adapter_with_one_plain_message(body, expected):
    errors = io.StringIO()
    assert loop.serve(io.BytesIO(struct.pack("<I", len(body)) + body), io.BytesIO(), errors) == 2
    text = errors.getvalue()
    assert text.count("\n") == 1 and expected in text and "frame 1" in text


def test_short_frames_unknown_records_and_a_clean_end():
    assert loop.serve(io.BytesIO(b"\x09\0"), io.BytesIO(), io.StringIO()) == 2
    assert loop.serve(io.BytesIO(b"\x09\0\0\0abc"), io.BytesIO(), io.StringIO()) == 2
    assert 999 not in EVENTS and decode_batch(batch(record(999, b"later")))[1] == []
    sink = io.BytesIO()
    empty = struct.pack("<I", 12) + batch()
    assert loop.serve(io.BytesIO(empty * 2), sink, io.StringIO()) == 0
    assert sink.getvalue() == encode_reply([]) * 2


def test_a_restart_starts_from_nothing_and_a_fault_stays_with_its_instance(monkeypatch):
    host, start = loop.InstanceHost(), face.Start(1, SimulatedFleet().facts)
    listing = face.Listing(1, face.CACHED, ())
    first = host.handle_batch(1.0, [(1, start), (1, listing), (2, start), (2, listing)])
    assert {instance for instance, _ in first} == {1, 2}
    old = host.brains[1]
    host.handle_batch(2.0, [(1, face.Left(3)), (1, face.Killed()), (1, start), (1, listing)])
    assert host.brains[1] is not old
    with pytest.raises(BadInput):
        host.handle_batch(3.0, [(2, face.Killed())])
        host.handle_batch(4.0, [(2, face.Left(3))])

    def broken(now, events):
        raise ZeroDivisionError("worn out")

    monkeypatch.setattr(host.brains[1], "handle", broken)
    ((instance, order),) = host.handle_batch(5.0, [(1, face.Left(3))])
    assert instance == 1 and isinstance(order, face.Fault) and "worn out" in order.text
    assert host.handle_batch(6.0, [(1, face.Left(3))]) == []
