"""The dispatcher's network side, as a library: reactor and clock are passed in, without global state."""
