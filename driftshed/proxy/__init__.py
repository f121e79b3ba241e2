"""The proxy: forwards invocations to servers as the published tables say. `pick`, `retry`, `limits` and `tables` decide
and are free of I/O; `forward` and `command` have the sockets. It may import `driftshed.core`'s messages and holding,
`driftshed.net`, and `driftshed.trace` to record."""
