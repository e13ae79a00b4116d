#!/bin/sh
# The disruption: a bad client sends the id of another client's open request.
# TROUBLE=0 plays the same without the disruption; TROUBLE=1, the default, with it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/bin/spokegw" ] && [ -x "$root/bin/stand2" ] || exit 2
exec "$root/bin/stand2" reused-id "$root" "$folder"
