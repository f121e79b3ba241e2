"""Leaving a zone that fails as a fleet, and returning to it in steps; off unless a supervisor takes part in a fleet."""
