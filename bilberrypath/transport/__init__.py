"""I/O around the decision objects: daemons, sockets, clocks, servers and clients."""
