"""The supervisor as a program: its flags, its HTTP API and its process. It makes no decisions: it passes requests to
the core and sends what the core publishes. It may import `driftshed.core` and `driftshed.net`."""
