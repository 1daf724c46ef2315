#!/bin/sh
# A part of long prompts crashes each model replica that begins to answer on it.
cd "$(dirname "$0")" && exec node run.mjs
