#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
case_name=ledger
. "$here/../case.sh"
