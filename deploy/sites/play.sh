#!/usr/bin/env bash
# Plays a site of this folder on the operators' bench:  deploy/sites/play.sh SITE.toml [the bench's further words]
# For one day:                                           deploy/sites/play.sh --day SITE.toml --rough DAY --seed N
# What has to lie beside a site is laid there from ../given and is not committed.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=../given/kit/more/mass/bin/lbreal
beside=../given/kit/more/mass/other

score=score
if [ "${1:-}" = --day ]; then
    score=
    shift
fi
site=${1:?"expected a site of deploy/sites, such as harbour-customs.toml"}
shift
[ -f "deploy/sites/$site" ] || { echo "play.sh: no such site: deploy/sites/$site" >&2; exit 2; }
for need in "$bench" "$beside/real.json" "$beside/wire.json" "$beside/unlock.txt"; do
    [ -e "$need" ] || { echo "play.sh: missing: $need (the operators' kit has to lie beside the project)" >&2; exit 1; }
done
for file in real.json wire.json unlock.txt; do
    rm -f "deploy/sites/$file"
    cp "$beside/$file" "deploy/sites/$file"
done
exec "$bench" $score "deploy/sites/$site" "$@"
