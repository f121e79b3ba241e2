"""The adapter between the simulator's protocol and the decisions module."""
