#!/usr/bin/env bash
# Lays beside the site files here what the bench wants there: real.json, wire.json and unlock.txt, taken from the
# folder of a deployment that the bench knows. Git ignores them.
#   deploy/sites/lay-bench-files.sh [FOLDER]      default: ../given/kit/more/mass/other, from the repository's root
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
from=${1:-$here/../../../given/kit/more/mass/other}
for name in real.json wire.json unlock.txt; do
  [ -f "$from/$name" ] || { echo "lay-bench-files: $from/$name: no such file" >&2; exit 1; }
  install -m 644 "$from/$name" "$here/$name"
done
