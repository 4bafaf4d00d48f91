"""Wire formats: packet headers, routing tokens, frames, messages and outcomes."""
