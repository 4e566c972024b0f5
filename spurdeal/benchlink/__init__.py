"""The adapter to the operators' bench: frames on standard input and output."""
