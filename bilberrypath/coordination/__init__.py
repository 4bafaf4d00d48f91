"""Decisions as pure state machines."""
