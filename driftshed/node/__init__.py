"""The platform's protocol: one more way in and out of the same module. The words of the platform end in `codec`; state
machines without I/O stand under thin connections on `driftshed.net`; nothing here decides. docs/platform.md."""
