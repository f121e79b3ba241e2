#!/bin/sh
# Builds the stand-ins that the cases start. They are Python and need nothing beyond the standard library, so they are
# only compiled with the interpreter that `build` of deploy/balancer.toml has left in .venv. That build leaves the package
# itself uninstalled, and a supervisor of a fleet asks for the installed version of it: the file that tells it, as pip
# would write it, goes into review/standin/metadata.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo "review/build.sh: run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/standin/*.py review/[0-9]*/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
version=$(.venv/bin/python -c 'import tomllib; print(tomllib.load(open("pyproject.toml", "rb"))["project"]["version"])')
mkdir -p "review/standin/metadata/driftshed-$version.dist-info"
printf 'Metadata-Version: 2.1\nName: driftshed\nVersion: %s\n' "$version" \
    > "review/standin/metadata/driftshed-$version.dist-info/METADATA"
