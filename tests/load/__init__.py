"""Tests of the load layer."""
