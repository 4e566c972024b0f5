"""The dispatcher on sockets, as a library: the reactor and the clock are passed in, and nothing is global."""
