#!/bin/sh
# Builds every stand-in that the scripts of cases 11 to 15 start: Python modules of the
# standard library alone, which run as they are. Checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in deployment_3.py 1[1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -S -P -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -f ../target/deps/bilberrypath/platform/__main__.py ] || {
    echo "run the build of deploy/system.toml first"
    exit 1
}
