#!/bin/sh
# Case 2; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 in the environment it does the same without the disruption, and must pass.
exec "$(dirname "$0")/../run-case.sh" 2 versions "${TROUBLE:-1}"
