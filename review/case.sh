# Runs one case: sourced by N/run.sh with the case's name in $case_name and its folder in $here.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/review/target/review
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$root/target/release/lotusdeck" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
[ -n "$run" ] || { echo "deploy/balancer.toml names no run command" >&2; exit 2; }
export REVIEW_ROOT="$root" REVIEW_RUN="$run" REVIEW_RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}"
exec "$program" "$case_name"
