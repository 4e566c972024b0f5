"""The laboratory: stand-ins for what dispatchers talk to, all on loopback, and proofs with real processes."""
