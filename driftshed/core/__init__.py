"""The core of a supervisor, free of I/O: what is published to each proxy and in which version, the paced channel, the
sums of reports, the list of servers, and the instance that hosts the decisions module between them. It may read no
clock, touch no socket or file and start no thread: time is handed in, orders and answers are handed out. What it may
import: the standard library, `msgspec`, and the decisions (`driftshed.brain`, `driftshed.interface`)."""
