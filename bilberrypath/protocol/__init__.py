"""Wire formats: routing tokens, frames, control messages and outcomes."""
