#!/bin/sh
# Builds the stand-ins of the third review's scripts. Run in the root of the repository, after
# the build of the deploy file.
set -e
mkdir -p target
go build -o target/assay-3 ./review/_assay
go build -o target/review-vantage ./review/_vantage
