#!/usr/bin/env bash
# Runs the case. review/build.sh and the build of deploy/service.toml come first. With TROUBLE=0 the
# disruption is left out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in "$root/target/switchshore" "$root/target/review-standin"; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
exec "$root/target/review-standin" late-copy "$root" "$folder"
