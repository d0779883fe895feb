#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec python3 case.py
