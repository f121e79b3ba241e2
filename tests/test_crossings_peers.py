"""Network fault tests of incoming connections: joins during a flood, ends within a report, pings before readiness."""

import socket
import time

import pytest

from driftshed import interface as face
from driftshed.node.collectors import NACK, PONG
from driftshed.node.resp import encode_message
from tests.helpers import FACTS
from tests.platforms import HEAD, KINDS, Platform, chunk, nested, roster_update, server_entry
from tests.test_net import RawConnection

# ---- incoming connections --------------------------------------------------------------------------------------------


def test_a_flood_does_not_shut_out_a_collector_whose_join_is_unread(platform):
    platform.start(0)
    collector = RawConnection(platform.loop, platform.address)
    collector.sock.sendall(encode_message("SOURCE", "site", "east") + encode_message("PING"))
    flood = [
        RawConnection(platform.loop, platform.address) for _ in range(60)
    ]  # all queued in the kernel before the first is accepted
    platform.until(lambda: len(platform.service.unknown_peers) > 20)
    platform.until(lambda: collector.read() or collector.ended)
    assert collector.got == PONG and not collector.ended
    for peer in [collector, *flood]:
        peer.sock.close()


ZONES = [f"z{number}" for number in range(40)]


def test_as_many_collectors_stay_as_there_are_zones():
    settings = nested(FACTS + KINDS) | {"zones": ZONES}
    platform = Platform(settings=settings, limits={"sockets": 256}, known={})
    platform.until(lambda: platform.service.ready)
    peers = [RawConnection(platform.loop, platform.address) for _ in ZONES]
    for peer, zone in zip(peers, ZONES, strict=True):
        peer.sock.sendall(encode_message("SOURCE", "site", zone) + encode_message("PING"))
    platform.until(lambda: all((peer.read() or peer.ended) for peer in peers))
    assert not any(peer.ended for peer in peers) and len(platform.service.collectors) == len(ZONES)
    # A collector that reconnects replaces the one that has been silent longest, not one that reports.
    silent, *others = peers[7], *peers[:7], *peers[8:]
    for peer in others:
        peer.sock.sendall(encode_message("PING"))
    platform.until(lambda: all(peer.read() == PONG * 2 for peer in others))
    rejoined = RawConnection(platform.loop, platform.address)
    rejoined.sock.sendall(encode_message("SOURCE", "site", ZONES[7]) + encode_message("PING"))
    platform.until(lambda: rejoined.read() == PONG and (silent.read(), silent.ended)[1])
    assert not any((peer.read(), peer.ended)[1] for peer in others)
    for peer in [*peers, rejoined]:
        peer.sock.close()
    platform.close()


def test_pongs_are_held_back_until_ready_and_then_all_sent():
    platform = Platform()
    platform.service.discovery.link.close()
    valid, malformed = RawConnection(platform.loop, platform.address), RawConnection(platform.loop, platform.address)
    pings = encode_message("PING") * 3
    valid.sock.sendall(pings[:20])
    malformed.sock.sendall(encode_message("PING") + b"?")
    platform.until(lambda: (malformed.read(), malformed.ended)[1])
    assert malformed.got == NACK and not platform.service.ready
    valid.sock.sendall(pings[20:])
    platform.until(
        lambda: (
            platform.service.pending_pongs and len(next(iter(platform.service.pending_pongs.values()))) == 3 * len(PONG)
        )
    )
    assert valid.read() == b""
    platform.until(lambda: platform.service.ready)
    platform.until(lambda: valid.read() == PONG * 3)
    for byte in pings:
        valid.sock.sendall(bytes([byte]))
        platform.loop.turn(time.monotonic() + 0.002)
    platform.until(lambda: valid.read() == PONG * 6)
    valid.sock.close(), malformed.sock.close()
    platform.close()


@pytest.mark.parametrize("how", ["half-closes", "ends within a report", "comes twice"])
def test_a_collector_that_ends_unusually_keeps_its_reports_and_is_forgotten(platform, how):
    platform.start(0)
    received = []
    take = platform.service.host.add_events
    platform.service.host.add_events = lambda events: (received.extend(events), take(events))
    report = encode_message("RATE", "id", "0", "lane", "look", "count", "5", "fail", "0", "over", "1000")
    peers = [RawConnection(platform.loop, platform.address) for _ in range(2 if how == "comes twice" else 1)]
    for peer in peers:
        peer.sock.sendall(encode_message("SOURCE", "site", "west") + report)
    platform.until(lambda: len([e for e in received if isinstance(e, face.Demand)]) == len(peers))
    if how == "comes twice":
        assert len(platform.service.collectors) == 2  # both are accepted: it is unknown which is the old one
    elif how == "ends within a report":
        peers[0].sock.sendall(report[:30])
    peers[0].sock.shutdown(socket.SHUT_WR)
    platform.until(lambda: len(platform.service.collectors) == len(peers) - 1)
    assert len([e for e in received if isinstance(e, face.Demand)]) == len(peers)
    for peer in peers:
        peer.sock.close()


HUGE = [server_entry(number) for number in range(5000)]


@pytest.mark.parametrize(
    "servers, unreachable, proxies",
    [
        ([], "", range(0)),
        ([], "", range(8)),
        (HUGE, "", range(0)),
        (HUGE[:1000], "", range(3)),
        (None, "discovery", range(8)),
        ([], "relay", range(0)),
        (None, "both", range(0)),
        ([server_entry(1)], "", range(8)),
    ],
)
def test_it_is_ready_whatever_is_away_or_stands(servers, unreachable, proxies):
    platform = Platform(known={"version": 1, "full": True, "servers": servers or []} if unreachable != "both" else {})
    if unreachable in ("relay", "both"):
        platform.relay.close()
    platform.proxies = dict.fromkeys(proxies, True)
    snapshot = b"" if servers is None else chunk(roster_update(2, *servers, full=True))
    platform.discovery.on_stream = lambda stream: setattr(
        stream, "on_data", lambda data: snapshot and stream.write(HEAD + snapshot)
    )
    peer = RawConnection(platform.loop, platform.address)
    peer.sock.sendall(encode_message("PING"))
    platform.until(lambda: peer.read() == PONG)
    assert platform.service.ready
    if servers:  # proxies that joined before are bound
        platform.until(lambda: set(platform.applied_state()[1]) == set(proxies))
    platform.until(lambda: set(platform.service.host.join_state.joined) == set(proxies))
    assert platform.service.host.faults == 0
    peer.sock.close()
    platform.close()


# ---- names of other deployments --------------------------------------------------------------------------------------


def test_unusual_names_are_used_as_configured():
    settings = nested(FACTS + KINDS)
    settings["zones"] = ["Zürich West", "a+b,c"]
    settings["lanes"][0]["name"], settings["lanes"][1]["name"] = "look up, now", "取引"
    platform = Platform(settings=settings, known={})
    platform.until(lambda: platform.service.ready)
    received = []
    take = platform.service.host.add_events
    platform.service.host.add_events = lambda events: (received.extend(events), take(events))
    peer = RawConnection(platform.loop, platform.address)
    peer.sock.sendall(encode_message("SOURCE", "site", "Zürich West"))
    for lane in ("look up, now", "取引"):
        peer.sock.sendall(encode_message("RATE", "id", "0", "lane", lane, "count", "5", "fail", "0", "over", "1000"))
    platform.until(lambda: [e.operation for e in received if isinstance(e, face.Demand)] == [0, 1])
    op = platform.service.host.codec.encode_order(face.SetLevel(0, 0.5, 3, 1), 0)
    assert op["classes"] == ["look up, now", "取引"]
    peer.sock.close()
    platform.close()
