"""Load control of the datagram service: pure decisions that hold no agent."""
