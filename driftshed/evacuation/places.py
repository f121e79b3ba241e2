"""Places that can be left: each zone, and each region of several zones. Free of I/O.

A region is left as one, by one record. Its zones return one after the other in the order that the record states, and
each zone of a region counts alike, so that a share means the same to all supervisors, whatever roster each has."""

from __future__ import annotations

from typing import NamedTuple

ZONE_PREFIX, REGION_PREFIX = "zone.", "region."  # prefixes of topics


class Place(NamedTuple):
    """A zone or a region; `zones` are the indexes of its zones: one of a zone, several of a region."""

    topic: str
    name: str
    zones: tuple[int, ...]

    def shares(self, share: float, order: tuple[int, ...] = ()) -> dict[int, float]:
        """Returns by zone the share that is left while `share` of the place is left.

        The first zone in `order` is the last to be left and the first to return."""
        remaining = (1.0 - share) * len(self.zones)
        by_zone = {}
        for zone in order or self.zones:
            by_zone[zone] = round(1.0 - min(1.0, max(0.0, remaining)), 9)
            remaining -= 1.0
        return by_zone


def max_left_share(loads: list[float], spare: float) -> float:
    """Returns the largest share of a place that can be left.

    `loads`: by zone in the order of return, the load on the other places if all of it is left; the last zone is left
    first. `spare`: the load that the other places can take over, in the same unit."""
    share = 0.0
    for load in reversed(loads):
        if load > spare:
            return min(1.0, (share + max(0.0, spare) / load) / len(loads))
        spare -= load
        share += 1.0
    return 1.0


def read_regions(text: str, zones: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
    """Reads regions from "north=east+west,south=lake"; raises ValueError. A zone in no region is by itself."""
    regions: dict[str, tuple[str, ...]] = {}
    assigned: set[str] = set()
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, zone_list = part.partition("=")
        members = tuple(filter(None, (each.strip() for each in zone_list.split("+"))))
        if not name.strip() or not members:
            raise ValueError(f"{part!r}: write REGION=ZONE+ZONE")
        if name in regions or name in zones:
            raise ValueError(f"{name!r} is named twice: a region needs a name of its own")
        for zone in members:
            if zone not in zones:
                raise ValueError(f"{zone!r} is none of {', '.join(zones)}")
            if zone in assigned:
                raise ValueError(f"{zone!r} belongs to two regions")
            assigned.add(zone)
        regions[name] = members
    if len(regions) == 1 and len(zones) > 1 and assigned == set(zones):
        raise ValueError("one region of all zones cannot be left: name another, or none")
    return regions


def places(zones: tuple[str, ...], regions: dict[str, tuple[str, ...]]) -> list[Place]:
    """Returns all places: the zones, in their order, then the regions of more than one zone."""
    result = [Place(ZONE_PREFIX + zone, zone, (number,)) for number, zone in enumerate(zones)]
    for name, members in regions.items():
        if len(members) > 1:
            result.append(Place(REGION_PREFIX + name, name, tuple(sorted(map(zones.index, members)))))
    return result
