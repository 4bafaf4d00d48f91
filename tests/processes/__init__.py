"""Short runs of real processes on loopback."""
