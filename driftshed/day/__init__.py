"""Scripted test days: supervisors run as separate processes among stand-ins, a recorder stores all socket traffic, and
a judge checks it using only the record and the script. This package may import everything but the command line."""
