#!/bin/sh
# A refusal of a full model replica is written twice.
cd "$(dirname "$0")" && exec node run.mjs
