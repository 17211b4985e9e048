#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target/. Needs the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp target/hornbeamscale.jar review/src/review/*.java
