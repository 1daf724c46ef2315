#!/bin/sh
# Builds what the scripts of the second review load beside the gateway: the project's stand-in of the store.
# Run after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
