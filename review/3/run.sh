#!/bin/sh
# A model replica turns slow for some seconds; its runs go on although its callers leave.
cd "$(dirname "$0")" && exec node run.mjs
