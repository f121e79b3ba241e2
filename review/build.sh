#!/bin/sh
# Builds the stand-ins that the cases start. They are Python and need nothing beyond the standard library, so all that is
# done is to compile them with the interpreter that `build` of deploy/balancer.toml has left in .venv.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "review/build.sh: run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/standin/*.py review/[0-9]*/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
