"""Benchmark programs; most print one ``name=value`` pair a line."""
