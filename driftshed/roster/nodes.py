"""The data of a server's node, and the paths of nodes: ROOT/ADDRESS~EPOCH is an ephemeral node for one start of one
server; ROOT-epochs/ADDRESS is a permanent node whose version counts its starts. Free of I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from driftshed.core.messages import STATES, InvalidServerName, Name, Number, Share, server_id
from driftshed.roster.membership import ServerAnnouncement

MAX_NODE_BYTES = 4096  # of a node's data


class BadNode(ValueError):
    """The name or the data of a node is invalid; the message gives the reason."""


class NodeData(Struct, forbid_unknown_fields=True):
    """The data of a node, as JSON."""

    zone: Name
    kind: Name
    state: str = "ready"
    started: float | None = None
    cell: Number = 0
    weight: Share = 1.0
    epoch: Annotated[int, Meta(ge=0)] = 0


def write_node(node: ServerAnnouncement) -> bytes:
    """Encodes the data of a node; the server's address is in the node's name."""
    fields = NodeData(node.zone, node.kind, node.state, node.started, node.cell, node.weight, node.epoch)
    return msgspec.json.encode(fields)


def read_node(name: str, data: bytes, zones: tuple[str, ...], kinds: tuple[str, ...]) -> ServerAnnouncement:
    """Parses a node under the root from its name and its data. Raises BadNode if it is malformed, if its zone, kind or
    state is not among the known ones, or if the epoch in its name differs from the one in its data."""
    server, _, epoch = name.partition("~")
    try:
        server_id(server)
        fields = msgspec.json.decode(data[: MAX_NODE_BYTES + 1], type=NodeData)
    except (InvalidServerName, msgspec.DecodeError) as error:
        raise BadNode(f"{name}: {error}") from None
    for what, value, known in (
        ("zone", fields.zone, zones),
        ("kind", fields.kind, kinds),
        ("state", fields.state, STATES),
    ):
        if value not in known:
            raise BadNode(f"{name}: {what} {value!r} is none of {', '.join(known)}")
    if epoch != str(fields.epoch):
        raise BadNode(f"{name}: the epoch in the data is {fields.epoch}")
    return ServerAnnouncement(
        server, fields.zone, fields.kind, fields.state, fields.started, fields.cell, fields.weight, fields.epoch
    )
