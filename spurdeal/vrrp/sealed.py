"""Authenticated datagrams with replay protection between the dispatchers of one installation.

A datagram is a header, the sender's name, a body and the first 16 bytes of HMAC-SHA256 over these (RFC 2104;
RFC 4868 truncates likewise). The header carries the key id, the sender's start (`boot`, random), its sequence
number, and the start and sequence number of the last datagram accepted from the receiver (the echo). A replay
from an earlier start of either side echoes an outdated number and is refused, without comparing clocks.

A start of the peer is proven once a datagram of it echoes a datagram of ours that is no older than
MAX_ECHO_AGE and newer than the one that proved the start before. Datagrams of other starts are unproven.
"""

from __future__ import annotations

import hmac
import json
import struct
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

MAGIC = b"SPH1"
HEAD = struct.Struct(
    "!4sBBQQQQ"
)  # magic, key id, length of the name, boot, number, echoed boot, echoed number
TAG_SIZE = 16  # bytes of the truncated HMAC
MAX_KEYS, MAX_KEY_ID, MIN_KEY = 2, 255, 16  # number of keys, largest id, least bytes of a key
MAX_DATAGRAM = 8192  # bytes
WINDOW = 64  # sequence numbers below the highest that are still accepted, once each
MAX_ECHO_AGE = 2000.0  # ms: a new start of the peer must echo a datagram of ours that is no older


class RefusedError(Exception):
    """A datagram that is refused and changes nothing.

    Attributes:
        reason: Suffix of the counter that counts it (`handover_drop_...`; `drop_...` of the fleet).
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Keys:
    """One or two keys by id. The first signs and all verify, so that keys rotate without loss.

    Raises:
        ValueError: Not one or two keys of MIN_KEY bytes or more with ids from 0 to MAX_KEY_ID.
    """

    def __init__(self, keys: Mapping[int, bytes]) -> None:
        sound = all(0 <= ident <= MAX_KEY_ID and len(key) >= MIN_KEY for ident, key in keys.items())
        if not 1 <= len(keys) <= MAX_KEYS or not sound:
            raise ValueError("one or two keys of 16 bytes or more, with ids from 0 to 255")
        self.keys, self.signing_key_id = dict(keys), next(iter(keys))

    def authentication_tag(self, ident: int, data: bytes) -> bytes:
        """Return the truncated HMAC of the data with that key."""
        return hmac.digest(self.keys[ident], data, "sha256")[:TAG_SIZE]


class Session:
    """Sequence numbers and replay window of the datagrams exchanged with one peer.

    Args:
        own: Name of this dispatcher.
        peer: Name of the peer.
        boot: Random number of our start.
        keys: Keys of the installation.

    Attributes:
        sequence_number: That of our last datagram.
        send_times: When our last datagrams were sent, in ms, by sequence number: loans count from these.
        peer_boot: The peer's proven start; 0 if there is none yet.
        highest_number: The highest sequence number accepted from that start.
        replay_window: Bit n is set if the number n below the highest has been accepted.
        proof_number: Sequence number of our datagram whose echo proved that start.
        restarts: How often another start of the peer has been proven, the first included.
    """

    def __init__(self, own: str, peer: str, boot: int, keys: Keys) -> None:
        self.own, self.peer, self.boot, self.keys = own.encode(), peer.encode(), boot, keys
        self.sequence_number = 0
        self.send_times: OrderedDict[int, float] = OrderedDict()
        self.peer_boot, self.highest_number, self.replay_window = 0, 0, 0
        self.proof_number = 0
        self.restarts = 0

    def write(self, now: float, body: dict[str, Any], echo: tuple[int, int] | None = None) -> bytes:
        """Return the next datagram.

        Args:
            now: Monotonic clock, in ms.
            body: Written as JSON.
            echo: Start and number to echo; by default those of the last datagram accepted from the peer.

        Raises:
            ValueError: The datagram would exceed MAX_DATAGRAM.
        """
        self.sequence_number += 1
        self.send_times[self.sequence_number] = now
        while len(self.send_times) > WINDOW * 4:
            self.send_times.popitem(last=False)
        key = self.keys.signing_key_id
        data = (
            HEAD.pack(
                MAGIC,
                key,
                len(self.own),
                self.boot,
                self.sequence_number,
                *(echo or (self.peer_boot, self.highest_number)),
            )
            + self.own
            + json.dumps(body, separators=(",", ":")).encode()
        )
        if len(data) + TAG_SIZE > MAX_DATAGRAM:
            raise ValueError(f"datagram of {len(data)} bytes without its authentication tag is too large")
        return data + self.keys.authentication_tag(key, data)

    def read(self, now: float, datagram: bytes) -> tuple[dict[str, Any], float | None]:
        """Verify and decode a datagram received at `now` (ms).

        Returns:
            The body, and when our datagram that it echoes was sent, in ms; None if that is no longer known.

        Raises:
            RefusedError: The datagram is invalid, replayed or unproven; nothing has changed then.
        """
        boot, sequence_number, echo_boot, echo_number, text = self.verify(datagram)
        echoed_sent_at = self.send_times.get(echo_number) if echo_boot == self.boot else None
        fresh = echoed_sent_at is not None and now - echoed_sent_at <= MAX_ECHO_AGE
        if boot == self.peer_boot:
            age = self.highest_number - sequence_number
            if age >= WINDOW or (age >= 0 and self.replay_window >> age & 1):
                raise RefusedError("replayed")
        elif not fresh or echo_number <= self.proof_number:
            # An unknown start must echo a recent datagram of ours, newer than the echo that proved the known
            # start: otherwise datagrams of an old start, replayed soon after its end, would be accepted.
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
                sequence_number,
                1,
                self.restarts + 1,
            )
            self.proof_number = echo_number
        elif sequence_number > self.highest_number:
            self.replay_window = (
                self.replay_window << min(WINDOW, sequence_number - self.highest_number) | 1
            ) & (1 << WINDOW) - 1
            self.highest_number = sequence_number
        else:
            self.replay_window |= 1 << (self.highest_number - sequence_number)
        return body, echoed_sent_at

    def verify(self, datagram: bytes) -> tuple[int, int, int, int, bytes]:
        """Verify length, magic, key, authentication tag and name, in this order, before anything is parsed.

        Returns:
            The sender's start and number, the echoed start and number, and the body.

        Raises:
            RefusedError: A check fails.
        """
        if len(datagram) < HEAD.size + TAG_SIZE:
            raise RefusedError("short")
        if len(datagram) > MAX_DATAGRAM:
            raise RefusedError("long")
        magic, key, size, boot, sequence_number, echo_boot, echo_number = HEAD.unpack_from(datagram)
        if magic != MAGIC:
            raise RefusedError("magic")
        if key not in self.keys.keys:
            raise RefusedError("key")
        if not hmac.compare_digest(
            self.keys.authentication_tag(key, datagram[:-TAG_SIZE]), datagram[-TAG_SIZE:]
        ):
            raise RefusedError("seal")
        if datagram[HEAD.size : HEAD.size + size] != self.peer:
            raise RefusedError("name")
        return boot, sequence_number, echo_boot, echo_number, datagram[HEAD.size + size : -TAG_SIZE]

    def greet(self, now: float, datagram: bytes) -> bytes:
        """Return an empty datagram in answer to an unproven one whose authentication tag is valid.

        It echoes that start, which can then prove itself; nothing else of the datagram is used. A replayed
        datagram only obtains the echo of an old number, which proves nothing.

        Raises:
            RefusedError: The authentication tag or another check fails.
        """
        boot, sequence_number, *_ = self.verify(datagram)
        return self.write(now, {}, (boot, sequence_number))
