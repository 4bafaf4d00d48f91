"""Sockets, clocks and clients around the decisions."""
