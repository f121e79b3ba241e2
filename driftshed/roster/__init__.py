"""Membership by sessions, over ZooKeeper's published client protocol. `jute.py` and `tree.py` are free of I/O;
docs/roster.md lists which parts of the protocol are supported. May import from core and net, from no higher layer."""
