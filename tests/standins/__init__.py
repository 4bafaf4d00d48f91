"""Stand-ins for the external systems: fabric, upstreams, stores, trace collector."""
