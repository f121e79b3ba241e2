"""Scripted days: a supervisor as a process of its own, stand-ins round it, a recorder of what passes on the sockets,
and a judge who reads those bytes and the script alone. It may import everything but the command line."""
