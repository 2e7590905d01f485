#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts. They use the standard library only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out="$here/../target/review"
mkdir -p "$out"
for case in "$here"/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -o "$out/case-$number" "$case"
done
