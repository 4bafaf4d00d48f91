"""Measurements; each program prints ``name=value`` lines."""
