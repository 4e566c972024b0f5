"""Tampers with copies of audit logs; the witness records in the other logs must reveal each change."""

from __future__ import annotations

import json
import random
import shutil
import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from ...fleet.audit import FRAME, FRAME_STAMP, MAGIC, SEAL_RECORD, Kind, digest_after, frame_at
from ...fleet.audit_query import DispatcherLog, check, read_log
from ..rig import GRACE, Rig

LOGS = "audit-*.log"
MIN_COPIES = 12  # tampered copies after which no further log is used
PAGES_CUT = 11  # pages before the last seal at which a log is truncated


def tampering_figures(rig: Rig, folders: Sequence[Path], chance: random.Random) -> dict[str, int]:
    """Tamper with copies of the logs, and count the copies in which the check finds it."""
    tampered = found = 0
    root = rig.folder / "planted"
    logs = {folder: read_log(folder, False) for folder in folders}
    findings_before = chain_findings(list(logs.values()))
    for name, process in list(rig.processes.items()):
        if not process.disk.exists():
            continue
        for place, tamper in enumerate(TAMPERINGS):
            copy = root / f"{name}-{place}"
            shutil.copytree(process.disk, copy)
            if not tamper(copy, chance):
                continue
            tampered += 1
            findings = chain_findings(list((logs | {process.disk: read_log(copy, False)}).values()))
            found += any(name in text for text in findings - findings_before)
        if tampered >= MIN_COPIES:
            break
    return {"chain_breaks_planted": tampered, "chain_breaks_found": found}


def chain_findings(logs: Sequence[DispatcherLog]) -> set[str]:
    """Return the findings about the integrity of logs; records of decisions are not checked."""
    reduced = [
        DispatcherLog(
            log.folder,
            log.name,
            [entry for entry in log.entries if entry.record.kind is Kind.WITNESS],
            log.seals,
            log.last_page,
            log.problems,
        )
        for log in logs
    ]
    return {finding.text for finding in check(reduced, GRACE)}


def flip_bit(folder: Path, chance: random.Random) -> bool:
    """Flip a bit in the first half of the largest file."""
    file = max(folder.glob(LOGS), key=lambda each: each.stat().st_size)
    data = bytearray(file.read_bytes())
    data[chance.randrange(len(MAGIC), max(len(MAGIC) + 1, len(data) // 2))] ^= 1 << chance.randrange(8)
    file.write_bytes(bytes(data))
    return True


class Frame(NamedTuple):
    """A frame in a file: its start and end offsets, and its body."""

    start: int
    end: int
    body: bytes

    @property
    def kind(self) -> int:
        """The kind of its record, one of Kind."""
        return self.body[FRAME_STAMP.size]


def read_frames(data: bytes) -> list[Frame]:
    """Return all complete frames of a file."""
    found, at = list[Frame](), len(MAGIC)
    while (whole := frame_at(data, at)) is not None:
        body, end = whole
        found.append(Frame(at, end, body))
        at = end
    return found


def encode_frame(body: bytes) -> bytes:
    """Encode a body as a frame, with length and checksum."""
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def cut_tail(folder: Path, chance: random.Random) -> bool:
    """Truncate the last file at a seal some pages before its end, as if nothing more had been written."""
    file = max(folder.glob(LOGS))
    data = file.read_bytes()
    seals = [frame.end for frame in read_frames(data) if frame.kind == Kind.SEAL]
    if len(seals) <= PAGES_CUT:
        return False
    file.write_bytes(data[: seals[-PAGES_CUT]])
    return True


def delete_file(folder: Path, chance: random.Random) -> bool:
    """Delete the second of at least three files."""
    files = sorted(folder.glob(LOGS))
    if len(files) < 3:
        return False
    files[1].unlink()
    return True


def rewrite_record(folder: Path, chance: random.Random) -> bool:
    """Alter a send in the last file, and recompute all checksums and seals."""
    file = max(folder.glob(LOGS))
    rows = read_frames(file.read_bytes())
    sent = next((place for place, frame in enumerate(rows) if frame.kind == Kind.SENT), None)
    if sent is None:
        return False
    bodies = [frame.body for frame in rows]
    changed = bytearray(bodies[sent])
    changed[FRAME_STAMP.size + 1] ^= 1  # the number of the attempt
    bodies[sent] = bytes(changed)
    before = bytes.fromhex(read_log_head(rows[0].body)["before"])
    file.write_bytes(MAGIC + reseal(before, bodies))
    return True


def reseal(digest: bytes, bodies: Sequence[bytes]) -> bytes:
    """Encode bodies as frames, and recompute each seal's digest."""
    out, page = bytearray(), b""
    for body in bodies:
        if body[FRAME_STAMP.size] == Kind.SEAL:
            digest = digest_after(digest, page)
            kind, number, count = SEAL_RECORD.unpack_from(body, FRAME_STAMP.size)
            out += encode_frame(body[: FRAME_STAMP.size] + SEAL_RECORD.pack(kind, number, count) + digest)
            page = b""
        else:
            page += encode_frame(body)
            out += encode_frame(body)
    return bytes(out)


def read_log_head(body: bytes) -> dict[str, Any]:
    """Decode a file's first record."""
    (size,) = struct.unpack_from("!H", body, FRAME_STAMP.size + 1)
    head: dict[str, Any] = json.loads(
        zlib.decompress(body[FRAME_STAMP.size + 3 : FRAME_STAMP.size + 3 + size])
    )
    return head


# Each tampers with the log in a directory, and returns False if the log is too short for it.
TAMPERINGS: tuple[Callable[[Path, random.Random], bool], ...] = (
    flip_bit,
    cut_tail,
    delete_file,
    rewrite_record,
)
