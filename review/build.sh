#!/bin/sh
# Builds what the scripts start besides the bundle of the deploy file: nothing
# but plain .mjs files, which need no build; checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs trials/*/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
