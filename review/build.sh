#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the JDK alone; they use no library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target standins/*.java
