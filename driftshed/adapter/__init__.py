"""The adapter between the wire and the decisions module."""
