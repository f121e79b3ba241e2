#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of deploy/balancer.toml. The project's programs
# and the stand-ins are Python and need that build alone; this shows that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 2
sh deploy/venv.sh python3 || exit 1
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -e "$case/case.py" ] || continue
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case/case.py" || exit 1
done
.venv/bin/python -c 'import driftshed.cli, driftshed.node.service, driftshed.standins.platform.fleet' || exit 1
echo "review/build-2.sh: all is there"
