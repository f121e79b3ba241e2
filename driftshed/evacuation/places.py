"""What can be left: each zone, and each region of several zones. Free of I/O.

A region is left as one, by one record. Its zones come back one after the other in the order that the record states, and
in a region each zone counts alike: so the same share means the same to all supervisors, whatever list each holds."""

from __future__ import annotations

from typing import NamedTuple

ZONE, REGION = "zone.", "region."  # how topics begin


class Place(NamedTuple):
    """`zones`: their numbers; one of a zone, several of a region."""

    topic: str
    name: str
    zones: tuple[int, ...]

    def shares(self, share: float, order: tuple[int, ...] = ()) -> dict[int, float]:
        """What is left of each zone while this share of the place is; the first in the order is kept, and comes back,
        first."""
        kept = (1.0 - share) * len(self.zones)
        found = {}
        for zone in order or self.zones:
            found[zone] = round(1.0 - min(1.0, max(0.0, kept)), 9)
            kept -= 1.0
        return found


def reach(loads: list[float], spare: float) -> float:
    """The share of a place that can be left, by what leaving all of each zone would ask of the rest, the last of the
    order left first, and what the rest can spare."""
    share = 0.0
    for load in reversed(loads):
        if load > spare:
            return min(1.0, (share + max(0.0, spare) / load) / len(loads))
        spare -= load
        share += 1.0
    return 1.0


def read_regions(text: str, zones: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
    """Regions from "north=east+west,south=lake"; ValueError names what is wrong. What is in none is by itself."""
    regions: dict[str, tuple[str, ...]] = {}
    named: set[str] = set()
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, members = part.partition("=")
        own = tuple(filter(None, (each.strip() for each in members.split("+"))))
        if not name.strip() or not own:
            raise ValueError(f"{part!r}: write REGION=ZONE+ZONE")
        if name in regions or name in zones:
            raise ValueError(f"{name!r} is named twice: a region needs a name of its own")
        for zone in own:
            if zone not in zones:
                raise ValueError(f"{zone!r} is none of {', '.join(zones)}")
            if zone in named:
                raise ValueError(f"{zone!r} belongs to two regions")
            named.add(zone)
        regions[name] = own
    if len(regions) == 1 and len(zones) > 1 and named == set(zones):
        raise ValueError("one region of all zones cannot be left: name another, or none")
    return regions


def places(zones: tuple[str, ...], regions: dict[str, tuple[str, ...]]) -> list[Place]:
    """All that can be left: the zones, in their order, then regions of more than one."""
    found = [Place(ZONE + zone, zone, (number,)) for number, zone in enumerate(zones)]
    for name, own in regions.items():
        if len(own) > 1:
            found.append(Place(REGION + name, name, tuple(sorted(map(zones.index, own)))))
    return found
