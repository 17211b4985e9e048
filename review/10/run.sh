#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
test -f target/hornbeamscale.jar -a -f target/review-2/CutWatch.class || exit 2
exec timeout -k 5 115 java -Xmx256m -cp 'target/review-2:target/lib/*' CutWatch "$folder"
