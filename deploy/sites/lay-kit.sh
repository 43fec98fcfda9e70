#!/usr/bin/env bash
# Lays the bench's own files (dialect, protocol, unlock lines) beside the sites here, from a site folder of the
# kit: deploy/sites/lay-kit.sh KIT/more/mass/other. They stay out of the repository.
set -euo pipefail
from=${1:?the folder of a site of the kit}
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
  cp "$from/$name" "$here/$name"
  chmod u+w "$here/$name"
done
