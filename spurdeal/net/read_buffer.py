"""The read buffer of a connection."""


class ReadBuffer:
    """Bytes that were read and the position of the next message; messages are slices of these bytes.

    A buffer is never modified in place, so slices stay valid after later reads.
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.position = 0

    def feed(self, data: bytes) -> None:
        """Appends the bytes of one read."""
        left = self.buffer[self.position :]
        self.buffer, self.position = left + data if left else data, 0

    def consume(self, position: int) -> None:
        """Moves on to this position; an empty buffer is released, so idle connections hold no bytes."""
        self.position = position
        if position == len(self.buffer):
            self.buffer, self.position = b"", 0

    def remaining(self) -> int:
        """How many bytes were not consumed yet."""
        return len(self.buffer) - self.position
