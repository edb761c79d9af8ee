#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins-3"
go build -o ../../target/standins-3 .
