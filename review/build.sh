#!/usr/bin/env bash
# The stand-ins are Python scripts without dependencies: there is nothing to build, but they must be readable.
set -euo pipefail
cd "$(dirname "$0")"
for script in standin */case; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
test -x ../target/release/oliveworks-gateway || echo "build the deploy file's build first"
