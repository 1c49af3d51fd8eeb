#!/bin/sh
# Builds the stand-ins and the driver of the cases 4 to 8 into target/review-2: one program,
# from the standard library alone. The programs under test come from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 review/lib-2/harness.rs -o target/review-2/harness
