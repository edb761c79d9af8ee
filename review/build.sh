#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/sim"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-sim .
