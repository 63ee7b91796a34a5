#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 java -Xmx3g -cp target/review-2:target/sardinebay-gateway.jar Case9 "$PWD" "$PWD/review/9"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
