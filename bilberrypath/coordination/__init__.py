"""State machines without I/O that make the decisions of balancers and agents."""
