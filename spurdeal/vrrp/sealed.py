"""Datagrams between dispatchers of one installation: sealed with a key, and fresh.

A datagram is a head, a body and the first 16 bytes of HMAC-SHA256 (RFC 2104, RFC 4868 cuts likewise) over
both. The head names the key, the sender's start (`boot`, random), its number, and the last that was taken of
the receiver's: start and number. What is replayed from an earlier start of either side repeats what is no
longer the last, so it counts for nothing, and no clock is compared.
"""

from __future__ import annotations

import hmac
import json
import struct
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

MAGIC = b"SPH1"
HEAD = struct.Struct("!4sBBQQQQ")  # magic, key id, length of the name, boot, number, echoed boot and number
SEAL = 16
MAX_KEYS, MAX_KEY_ID, MIN_KEY = 2, 255, 16  # keys, their ids, and bytes of one
MAX_DATAGRAM = 8192
WINDOW = 64  # numbers behind the newest that may still arrive, once each
MAX_ECHO_AGE = 2000.0  # ms: a new start of the peer must repeat what we sent no longer ago


class RefusedError(Exception):
    """A datagram that changes nothing; `reason` is the counter's name."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Keys:
    """One or two keys by id. The first seals; all open, so that a change loses nothing."""

    def __init__(self, keys: Mapping[int, bytes]) -> None:
        sound = all(0 <= ident <= MAX_KEY_ID and len(key) >= MIN_KEY for ident, key in keys.items())
        if not 1 <= len(keys) <= MAX_KEYS or not sound:
            raise ValueError("one or two keys of 16 bytes or more, with ids from 0 to 255")
        self.keys, self.sealing = dict(keys), next(iter(keys))

    def seal(self, ident: int, data: bytes) -> bytes:
        """The seal of the data by that key."""
        return hmac.digest(self.keys[ident], data, "sha256")[:SEAL]


class Session:
    """What is known of one peer's datagrams, and of ours to it."""

    def __init__(self, own: str, peer: str, boot: int, keys: Keys) -> None:
        self.own, self.peer, self.boot, self.keys = own.encode(), peer.encode(), boot, keys
        self.number = 0
        self.sent: OrderedDict[int, float] = OrderedDict()  # when our last ones left, to measure loans from
        self.peer_boot, self.highest_number, self.replay_window = 0, 0, 0
        self.proof_number = 0  # the number of ours by which the peer's start proved itself
        self.restarts = 0  # how often the peer's start has changed

    def write(self, now: float, body: dict[str, Any], echo: tuple[int, int] | None = None) -> bytes:
        """The next datagram; now is ms of the sender's monotonic clock.

        Raises:
            ValueError: The body is too large.
        """
        self.number += 1
        self.sent[self.number] = now
        while len(self.sent) > WINDOW * 4:
            self.sent.popitem(last=False)
        key = self.keys.sealing
        data = (
            HEAD.pack(
                MAGIC,
                key,
                len(self.own),
                self.boot,
                self.number,
                *(echo or (self.peer_boot, self.highest_number)),
            )
            + self.own
            + json.dumps(body, separators=(",", ":")).encode()
        )
        if len(data) + SEAL > MAX_DATAGRAM:
            raise ValueError(f"{len(data)} bytes are more than a datagram holds")
        return data + self.keys.seal(key, data)

    def read(self, now: float, datagram: bytes) -> tuple[dict[str, Any], float | None]:
        """The body, and when the last of ours that the peer had taken was sent: None if it is too long ago.

        Raises:
            RefusedError: Anything is wrong; nothing has changed then.
        """
        boot, number, echo_boot, echo_number, text = self.open(datagram)
        asked = self.sent.get(echo_number) if echo_boot == self.boot else None
        fresh = asked is not None and now - asked <= MAX_ECHO_AGE
        if boot == self.peer_boot:
            age = self.highest_number - number
            if age >= WINDOW or (age >= 0 and self.replay_window >> age & 1):
                raise RefusedError("replayed")
        elif not fresh or echo_number <= self.proof_number:
            # An unknown start must show that it hears us now, and later than the known one did: else an
            # old start's datagrams, replayed soon after its end, would be taken.
            raise RefusedError("unproven")
        try:
            body = json.loads(text)
        except (ValueError, RecursionError):
            raise RefusedError("body") from None
        if not isinstance(body, dict):
            raise RefusedError("body")
        if boot != self.peer_boot:
            self.peer_boot, self.highest_number, self.replay_window, self.restarts = (
                boot,
                number,
                1,
                self.restarts + 1,
            )
            self.proof_number = echo_number
        elif number > self.highest_number:
            self.replay_window = (self.replay_window << min(WINDOW, number - self.highest_number) | 1) & (
                1 << WINDOW
            ) - 1
            self.highest_number = number
        else:
            self.replay_window |= 1 << (self.highest_number - number)
        return body, asked

    def open(self, datagram: bytes) -> tuple[int, int, int, int, bytes]:
        """Length, magic, key, seal and name, in this order; what is not ours is refused before it is read."""
        if len(datagram) < HEAD.size + SEAL:
            raise RefusedError("short")
        if len(datagram) > MAX_DATAGRAM:
            raise RefusedError("long")
        magic, key, size, boot, number, echo_boot, echo_number = HEAD.unpack_from(datagram)
        if magic != MAGIC:
            raise RefusedError("magic")
        if key not in self.keys.keys:
            raise RefusedError("key")
        if not hmac.compare_digest(self.keys.seal(key, datagram[:-SEAL]), datagram[-SEAL:]):
            raise RefusedError("seal")
        if datagram[HEAD.size : HEAD.size + size] != self.peer:
            raise RefusedError("name")
        return boot, number, echo_boot, echo_number, datagram[HEAD.size + size : -SEAL]

    def greet(self, now: float, datagram: bytes) -> bytes:
        """An empty answer to an unproven one whose seal is right.

        It echoes that start, which can then prove itself. Nothing else is taken of it. A replay gains an echo
        of an old number, which proves nothing.
        """
        boot, number, *_ = self.open(datagram)
        return self.write(now, {}, (boot, number))
