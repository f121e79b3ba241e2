"""Membership and agreement among several supervisors, over a store with ZooKeeper's client protocol.

Coordination is additive: a single supervisor satisfies every rule without it (docs/coordination.md)."""
