#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
exec timeout 110 python3 "$(dirname "$0")/play.py"
