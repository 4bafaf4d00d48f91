#!/bin/sh
# TROUBLE=0: no zone loses power.
cd "$(dirname "$0")" || exit 2
exec python3 -S -P case.py
