#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/sardinebay-gateway.jar || build/deployable
rm -rf target/review-2
mkdir -p target/review-2
# The jar of the gateway also holds the JSON library that the stand-ins use.
javac -nowarn -cp target/sardinebay-gateway.jar -d target/review-2 review/src-2/*.java
