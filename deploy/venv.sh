#!/bin/sh
# Makes .venv whole and installs into it. `build` in balancer.toml calls it for what `run` needs, the Makefile for all:
#
#     sh deploy/venv.sh PYTHON [test]
#
# Guards against builds that were cut off and against several at once in one checkout. One at a time works on .venv, the
# others wait for its lock. While it is worked on .venv/.unfinished stands there; who finds that mark, or a pip that is
# not all there, makes .venv anew. It is emptied in place, so the lock, which is on the folder, goes on to hold.
set -u
cd "$(dirname "$0")/.." || exit 1
python=${1:-python3} what=${2:-run}

refuse() {
    echo "deploy/venv.sh: $*" >&2
    exit 1
}

enough() { # whether there is nothing to do
    [ ! -e .venv/.unfinished ] || return 1
    if [ "$what" = run ]; then
        .venv/bin/python -c 'import httptools, msgspec, pip' 2>/dev/null
        return
    fi
    [ -e .venv/.ready ] || return 1
    for file in requirements.txt requirements-test.txt pyproject.toml; do
        [ ! "$file" -nt .venv/.ready ] || return 1
    done
}

whole() { # whether all files that pip installed itself with are there, in full
    [ ! -e .venv/.unfinished ] && .venv/bin/python -c '
from importlib.metadata import files
raise SystemExit(not all(each.size in (None, each.locate().stat().st_size) for each in files("pip")))' 2>/dev/null
}

install() { # pip's arguments
    .venv/bin/python -m pip -q install "$@"
    status=$?
    [ $status -ne 0 ] || return 0
    # A pip that failed by itself leaves what it can go on from; one that was killed does not.
    [ $status -gt 128 ] || rm -f .venv/.unfinished
    refuse "pip could not install $* (its words stand above): see to it and run this again"
}

[ "$what" = run ] || [ "$what" = test ] || refuse "'$what' is not known: give PYTHON, and 'test' for all"
enough && exit 0
command -v "$python" >/dev/null || refuse "'$python' is not there: install Python 3.11 or newer"
trap 'exit 130' INT
{ mkdir -p .venv && [ -w .venv/ ]; } || refuse "cannot write into .venv: remove it, or run this as its owner"
exec 9<.venv/
"$python" -c '
import fcntl, signal, sys
signal.signal(signal.SIGALRM, lambda *_: sys.exit(1))
signal.signal(signal.SIGINT, signal.SIG_DFL)
signal.alarm(900)
fcntl.flock(9, fcntl.LOCK_EX)' || refuse "did not get .venv to itself within 15 minutes: end the other build, run this again"
enough && exit 0

rm -f .venv/.ready
if ! whole; then
    touch .venv/.unfinished || refuse "cannot write into .venv: remove it, or run this as its owner"
    find .venv/ -mindepth 1 -maxdepth 1 ! -name .unfinished -exec rm -rf {} + || refuse "cannot empty .venv: remove it"
    hash -r
    "$python" -m venv .venv || refuse "'$python -m venv' failed (its words stand above); Debian has it in python3-venv"
fi
touch .venv/.unfinished || refuse "cannot write into .venv: remove it, or run this as its owner"
if [ "$what" = run ]; then
    install -r requirements.txt
else
    install -r requirements.txt -r requirements-test.txt
    install --no-deps --no-build-isolation -e .
fi
rm -f .venv/.unfinished
[ "$what" = run ] || touch .venv/.ready
