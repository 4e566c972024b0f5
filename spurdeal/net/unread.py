"""What was read from a connection and not yet taken off it."""


class ReadBuffer:
    """The bytes and the place in them; messages are handed out as slices of these bytes."""

    def __init__(self) -> None:
        self.buffer = b""
        self.at = 0

    def feed(self, data: bytes) -> None:
        left = self.buffer[self.at :]
        self.buffer, self.at = left + data if left else data, 0

    def consume(self, at: int) -> None:
        """All before this place is taken; an idle connection holds on to no bytes."""
        self.at = at
        if at == len(self.buffer):
            self.buffer, self.at = b"", 0

    def remaining(self) -> int:
        return len(self.buffer) - self.at
