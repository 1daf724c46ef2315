#!/bin/sh
# One model replica in trouble sends bytes without end in the body of a stream.
cd "$(dirname "$0")" && exec node run.mjs
