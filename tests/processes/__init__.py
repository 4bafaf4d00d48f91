"""Short tests with real processes on loopback."""
