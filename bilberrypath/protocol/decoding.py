"""What is shared by the decoders of data that other writers sent."""

from __future__ import annotations

import msgspec

# The decoders of msgspec and json raise RecursionError for input that is nested deeper
# than the interpreter's recursion limit, also in fields that are skipped.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
MAX_JSON_INTEGER = 2**53 - 1  # the largest whole number that all JSON decoders keep
