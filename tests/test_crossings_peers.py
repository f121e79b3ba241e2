"""Crossings of who connects: joining words under a flood, ends within a report, signs of life before they are given."""

import socket
import time

import pytest

from driftshed import interface as face
from driftshed.node.collectors import NACK, PONG
from driftshed.node.resp import message
from tests.helpers import FACTS
from tests.platforms import HEAD, KINDS, Platform, change, chunk, listed, nested
from tests.test_net import Raw

# ---- who connects ----------------------------------------------------------------------------------------------------


def test_a_flood_does_not_shut_out_a_collector_whose_joining_is_unread(platform):
    platform.start(0)
    collector = Raw(platform.loop, platform.address)
    collector.sock.sendall(message("SOURCE", "site", "east") + message("PING"))
    flood = [Raw(platform.loop, platform.address) for _ in range(60)]  # all in the kernel before the first is accepted
    platform.until(lambda: len(platform.service.strangers) > 20)
    platform.until(lambda: collector.read() or collector.ended)
    assert collector.got == PONG and not collector.ended
    for peer in [collector, *flood]:
        peer.sock.close()


ZONES = [f"z{number}" for number in range(40)]


def test_as_many_collectors_stay_as_there_are_zones():
    settings = nested(FACTS + KINDS) | {"zones": ZONES}
    platform = Platform(settings=settings, limits={"sockets": 256}, known={})
    platform.until(lambda: platform.service.ready)
    peers = [Raw(platform.loop, platform.address) for _ in ZONES]
    for peer, zone in zip(peers, ZONES, strict=True):
        peer.sock.sendall(message("SOURCE", "site", zone) + message("PING"))
    platform.until(lambda: all((peer.read() or peer.ended) for peer in peers))
    assert not any(peer.ended for peer in peers) and len(platform.service.collectors) == len(ZONES)
    # One that comes again takes the place of the one that has been silent for longest, not of one that reports.
    silent, *others = peers[7], *peers[:7], *peers[8:]
    for peer in others:
        peer.sock.sendall(message("PING"))
    platform.until(lambda: all(peer.read() == PONG * 2 for peer in others))
    again = Raw(platform.loop, platform.address)
    again.sock.sendall(message("SOURCE", "site", ZONES[7]) + message("PING"))
    platform.until(lambda: again.read() == PONG and (silent.read(), silent.ended)[1])
    assert not any((peer.read(), peer.ended)[1] for peer in others)
    for peer in [*peers, again]:
        peer.sock.close()
    platform.close()


def test_before_it_is_ready_nobody_gets_a_sign_of_life_and_then_each_that_is_owed():
    platform = Platform()
    platform.service.discovery.link.close()
    honest, rude = Raw(platform.loop, platform.address), Raw(platform.loop, platform.address)
    asked = message("PING") * 3
    honest.sock.sendall(asked[:20])
    rude.sock.sendall(message("PING") + b"?")
    platform.until(lambda: (rude.read(), rude.ended)[1])
    assert rude.got == NACK and not platform.service.ready
    honest.sock.sendall(asked[20:])
    platform.until(lambda: platform.service.owed and len(next(iter(platform.service.owed.values()))) == 3 * len(PONG))
    assert honest.read() == b""
    platform.until(lambda: platform.service.ready)
    platform.until(lambda: honest.read() == PONG * 3)
    for byte in asked:
        honest.sock.sendall(bytes([byte]))
        platform.loop.turn(time.monotonic() + 0.002)
    platform.until(lambda: honest.read() == PONG * 6)
    honest.sock.close(), rude.sock.close()
    platform.close()


@pytest.mark.parametrize("how", ["half-closes", "ends within a report", "comes twice"])
def test_a_collector_that_ends_oddly_leaves_its_reports_and_no_trace(platform, how):
    platform.start(0)
    heard = []
    take = platform.service.host.take
    platform.service.host.take = lambda events: (heard.extend(events), take(events))
    report = message("RATE", "id", "0", "lane", "look", "count", "5", "fail", "0", "over", "1000")
    peers = [Raw(platform.loop, platform.address) for _ in range(2 if how == "comes twice" else 1)]
    for peer in peers:
        peer.sock.sendall(message("SOURCE", "site", "west") + report)
    platform.until(lambda: len([e for e in heard if isinstance(e, face.Demand)]) == len(peers))
    if how == "comes twice":
        assert len(platform.service.collectors) == 2  # both are heard: nobody knows which one is old
    elif how == "ends within a report":
        peers[0].sock.sendall(report[:30])
    peers[0].sock.shutdown(socket.SHUT_WR)
    platform.until(lambda: len(platform.service.collectors) == len(peers) - 1)
    assert len([e for e in heard if isinstance(e, face.Demand)]) == len(peers)
    for peer in peers:
        peer.sock.close()


HUGE = [listed(number) for number in range(5000)]


@pytest.mark.parametrize(
    "servers, away, proxies",
    [
        ([], "", range(0)),
        ([], "", range(8)),
        (HUGE, "", range(0)),
        (HUGE[:1000], "", range(3)),
        (None, "discovery", range(8)),
        ([], "relay", range(0)),
        (None, "both", range(0)),
        ([listed(1)], "", range(8)),
    ],
)
def test_it_is_ready_whatever_is_away_or_stands(servers, away, proxies):
    platform = Platform(known={"version": 1, "full": True, "servers": servers or []} if away != "both" else {})
    if away in ("relay", "both"):
        platform.relay.close()
    platform.standing = dict.fromkeys(proxies, True)
    whole = b"" if servers is None else chunk(change(2, *servers, full=True))
    platform.discovery.on_stream = lambda stream: setattr(
        stream, "on_data", lambda data: whole and stream.write(HEAD + whole)
    )
    peer = Raw(platform.loop, platform.address)
    peer.sock.sendall(message("PING"))
    platform.until(lambda: peer.read() == PONG)
    assert platform.service.ready
    if servers:  # who stood before is bound
        platform.until(lambda: set(platform.holds()[1]) == set(proxies))
    platform.until(lambda: set(platform.service.host.joins.held) == set(proxies))
    assert platform.service.host.faults == 0
    peer.sock.close()
    platform.close()


# ---- names of another customer ---------------------------------------------------------------------------------------


def test_odd_names_are_said_as_they_were_given():
    settings = nested(FACTS + KINDS)
    settings["zones"] = ["Zürich West", "a+b,c"]
    settings["lanes"][0]["name"], settings["lanes"][1]["name"] = "look up, now", "取引"
    platform = Platform(settings=settings, known={})
    platform.until(lambda: platform.service.ready)
    heard = []
    take = platform.service.host.take
    platform.service.host.take = lambda events: (heard.extend(events), take(events))
    peer = Raw(platform.loop, platform.address)
    peer.sock.sendall(message("SOURCE", "site", "Zürich West"))
    for lane in ("look up, now", "取引"):
        peer.sock.sendall(message("RATE", "id", "0", "lane", lane, "count", "5", "fail", "0", "over", "1000"))
    platform.until(lambda: [e.operation for e in heard if isinstance(e, face.Demand)] == [0, 1])
    op = platform.service.host.words.operation(face.SetLevel(0, 0.5, 3, 1), 0)
    assert op["classes"] == ["look up, now", "取引"]
    peer.sock.close()
    platform.close()
