"""The supervisor as a program: its flags, its API over HTTP, its process. It decides nothing: it hands to the core
what comes in and sends out what the core publishes. It may import `driftshed.core` and `driftshed.net`."""
