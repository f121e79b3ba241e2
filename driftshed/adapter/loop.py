"""The host: feeds the events of each frame to the instances that they name and writes back what these order."""

from __future__ import annotations

import traceback

from driftshed import interface as face
from driftshed.adapter.codec import BadInput, decode_batch, encode_reply, read_frames
from driftshed.brain import Brain


class Host:
    """The instances of one process. They share nothing; one that has failed hears no more."""

    def __init__(self) -> None:
        self.brains: dict[int, Brain | None] = {}

    def play(self, now: float, events: list[tuple[int, object]]) -> list[tuple[int, object]]:
        """The orders that answer one batch, instance by instance in the order in which they were first named."""
        starts: dict[int, face.Start | None] = {}
        news: dict[int, list] = {}
        for instance, event in events:
            if isinstance(event, (face.Start, face.Killed)):
                # What an instance was told before its end is no longer its business.
                news[instance] = []
                starts[instance] = event if isinstance(event, face.Start) else None
            elif instance not in self.brains and starts.get(instance) is None:
                raise BadInput(f"{type(event).__name__} for instance {instance}, which was never started")
            else:
                news.setdefault(instance, []).append(event)
        orders = []
        for instance, heard in news.items():
            orders += [(instance, order) for order in self._act(instance, now, starts, heard)]
        return orders

    def _act(self, instance: int, now: float, starts: dict, heard: list) -> list:
        try:
            if instance in starts:
                start = starts[instance]
                self.brains.pop(instance, None)
                if start is None:
                    return []
                self.brains[instance] = Brain(start.facts, start.seed, now)
            brain = self.brains[instance]
            return brain.handle(now, heard) if brain else []
        except Exception as error:  # the module's own fault, told as such, leaves the others be
            self.brains[instance] = None
            place = traceback.extract_tb(error.__traceback__)[-1]
            return [face.Fault(f"{type(error).__name__}: {error} ({place.name}, line {place.lineno})")]


def serve(source, sink, complaints) -> int:
    """Answers frames until the input ends; the exit code."""
    host = Host()
    try:
        for number, body in enumerate(read_frames(source), 1):
            try:
                sink.write(encode_reply(host.play(*decode_batch(body))))
            except BadInput as error:
                raise BadInput(f"frame {number}: {error}") from None
            sink.flush()
    except BadInput as error:
        print(f"driftshed: bad input: {error}", file=complaints)
        return 2
    return 0
