"""Traces: what passed and what was decided, in files that outlive the program that wrote them. Columns, framing, clocks
and replay are free of I/O; `files` and `writer` touch files; nothing here touches sockets. It may import the decisions,
the core, and numpy, zstandard, xxhash and msgspec."""
