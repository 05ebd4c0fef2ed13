#!/bin/sh
# Compiles the stand-ins of the scripts. They need Python 3.11 and its standard library only; the
# programs that they start need what the deploy file builds into target/deps.
cd "$(dirname "$0")" && python3 -m compileall -q lab [0-9]*
