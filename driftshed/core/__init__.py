"""The I/O-free core of a supervisor: what is published to each proxy and in which version, the paced channel, the sums
of reports, the roster, and the instance that hosts the decisions module. Code here reads no clock, touches no socket or
file and starts no thread: the caller passes the time in and gets orders and answers back. It may import the standard
library, `msgspec` and the decisions (`driftshed.brain`, `driftshed.interface`)."""
