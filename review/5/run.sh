#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -d "$root/review/target" ] && [ -f "$root/target/sardinebay-gateway.jar" ] || exit 2
exec java -Xmx256m -cp "$root/review/target" CutAtShutdown "$root" "$here/record.txt"
