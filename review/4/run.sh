#!/bin/sh
# The store comes back from a copy some seconds old; later a replica leaves.
cd "$(dirname "$0")" && exec node run.mjs
