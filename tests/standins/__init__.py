"""Stand-ins for the systems outside: fabric, upstream, key-value service."""
