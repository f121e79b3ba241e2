"""Replay of recorded decisions on zones. Free of I/O."""

from __future__ import annotations

import msgspec

from driftshed.evacuation.stages import Limits, Observation, Stage, decide_vote, next_stage

NEXT_DECODER = msgspec.json.Decoder(tuple[str, Stage | None, Observation, Limits, tuple[str, ...]])
VOTE_DECODER = msgspec.json.Decoder(tuple[Stage | None, Stage, Observation, Limits])


def replay_decision(row: dict) -> str:
    """Repeats a recorded decision (trace/schema.py); returns "" if the result is the same, else the difference."""
    try:
        if row["what"] == "next":
            result = next_stage(*NEXT_DECODER.decode(row["given"]))
        elif row["what"] == "word":
            result = decide_vote(*VOTE_DECODER.decode(row["given"]))
        else:
            return f"{row['what']!r} is not a known decision on a zone"
    except msgspec.DecodeError as error:
        return f"the inputs of the decision cannot be read: {error}"
    encoded = msgspec.json.encode(result)
    return "" if encoded == row["said"] else f"was {row['said'].decode('utf-8', 'replace')} and is {encoded.decode()}"
