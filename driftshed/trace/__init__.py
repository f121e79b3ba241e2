"""Traces: files that record invocations, messages and decisions, and stay readable for later versions. `columns`,
`framing`, `clocks` and `replay` do no I/O on traces; `files` and `writer` access files; nothing here uses sockets. The
package may import the decisions, the core, and numpy, zstandard, xxhash and msgspec."""
