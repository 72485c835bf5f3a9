#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start. The project's own (broker, directory) are part of the
# program `pipithub`, built as by the deploy file; the others are Python files in review/gateway and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p pipithub -p pipithub-adapter
