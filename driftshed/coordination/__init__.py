"""What several supervisors know of each other and agree on, over a store that speaks ZooKeeper's client protocol. It
adds; every rule is kept by one supervisor alone (docs/coordination.md)."""
