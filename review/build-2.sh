#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's programs.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/stand2 ./review/stand2
