"""Recorded decisions on zones, decided again. Free of I/O."""

from __future__ import annotations

import msgspec

from driftshed.evacuation.stages import Limits, Sight, Stage, next_stage, word

NEXT = msgspec.json.Decoder(tuple[str, Stage | None, Sight, Limits, tuple[str, ...]])
WORD = msgspec.json.Decoder(tuple[Stage | None, Stage, Sight, Limits])


def decided_again(row: dict) -> str:
    """ "" where a recorded decision (trace/schema.py) comes out as it was recorded, else how it differs."""
    try:
        if row["what"] == "next":
            said = next_stage(*NEXT.decode(row["given"]))
        elif row["what"] == "word":
            said = word(*WORD.decode(row["given"]))
        else:
            return f"{row['what']!r} is no decision on a zone that this program knows"
    except msgspec.DecodeError as error:
        return f"what it rests on cannot be read: {error}"
    again = msgspec.json.encode(said)
    return "" if again == row["said"] else f"was {row['said'].decode('utf-8', 'replace')} and is {again.decode()}"
