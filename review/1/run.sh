#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. FORM=kill and FORM=store run two other forms.
case "${FORM:-order}" in
order) script=drive.py ;;
*) script=forms.py ;;
esac
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/$script"
