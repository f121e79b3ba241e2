"""`python -m driftshed.adapter`: serves the simulator's protocol on standard input and output."""

import sys

from driftshed.adapter.loop import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
