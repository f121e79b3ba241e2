"""Shared by all commands: options that are also read from the environment, queries of a supervisor, and logs."""
