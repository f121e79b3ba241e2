"""The host of the simulator's instances: passes the events of each frame to them and writes back their orders."""

from __future__ import annotations

import traceback

from driftshed import interface as face
from driftshed.adapter.codec import BadInput, decode_batch, encode_reply, read_frames
from driftshed.brain import Brain


class InstanceHost:
    """The instances of one process. They share no state; a failed one receives no more events."""

    def __init__(self) -> None:
        """Without instances; a Start event creates one."""
        self.brains: dict[int, Brain | None] = {}

    def handle_batch(self, now: float, events: list[tuple[int, object]]) -> list[tuple[int, object]]:
        """The orders that answer one batch of (instance, event) pairs, by instance in the order of their first event.
        Raises BadInput for an event to an instance that was never started."""
        starts: dict[int, face.Start | None] = {}
        pending: dict[int, list] = {}
        for instance, event in events:
            if isinstance(event, (face.Start, face.Killed)):
                # Events before the end of an instance are discarded.
                pending[instance] = []
                starts[instance] = event if isinstance(event, face.Start) else None
            elif instance not in self.brains and starts.get(instance) is None:
                raise BadInput(f"{type(event).__name__} for instance {instance}, which was never started")
            else:
                pending.setdefault(instance, []).append(event)
        orders = []
        for instance, received in pending.items():
            orders += [(instance, order) for order in self._run(instance, now, starts, received)]
        return orders

    def _run(self, instance: int, now: float, starts: dict, received: list) -> list:
        try:
            if instance in starts:
                start = starts[instance]
                self.brains.pop(instance, None)
                if start is None:
                    return []
                self.brains[instance] = Brain(start.facts, start.seed, now)
            brain = self.brains[instance]
            return brain.handle(now, received) if brain else []
        except Exception as error:  # a fault of the module is reported as such and does not affect other instances
            self.brains[instance] = None
            frame = traceback.extract_tb(error.__traceback__)[-1]
            return [face.Fault(f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})")]


def serve(source, sink, errors) -> int:
    """Answers the frames of `source` on `sink` until the input ends. Returns the exit code: 2 for bad input, of which
    one line is written to `errors`."""
    host = InstanceHost()
    try:
        for number, body in enumerate(read_frames(source), 1):
            try:
                sink.write(encode_reply(host.handle_batch(*decode_batch(body))))
            except BadInput as error:
                raise BadInput(f"frame {number}: {error}") from None
            sink.flush()
    except BadInput as error:
        print(f"driftshed: bad input: {error}", file=errors)
        return 2
    return 0
