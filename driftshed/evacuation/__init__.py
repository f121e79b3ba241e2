"""Leaving a failing zone as a fleet, and returning to it in steps. Off unless a supervisor participates in a fleet."""
