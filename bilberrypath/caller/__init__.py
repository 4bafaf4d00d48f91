"""The library that callers use."""
