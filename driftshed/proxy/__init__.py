"""The proxy: forwards invocations to servers according to the published tables. `pick`, `retry`, `limits` and `tables`
decide and are free of I/O; `forward`, `follow` and `command` do the I/O. It may import messages and proxy_state of
`driftshed.core`, `driftshed.net`, and `driftshed.trace` to record."""
