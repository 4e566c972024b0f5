"""Tampering with copies of audit logs, each of which must be found by what the others say."""

from __future__ import annotations

import json
import random
import shutil
import struct
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from ...fleet.asking import DispatcherLog, check, read_log
from ...fleet.audit import FRAME, FRAME_STAMP, MAGIC, SEAL_RECORD, Kind, digest_after, frame_at
from ..rig import GRACE, Rig

LOGS = "audit-*.log"
ENOUGH = 12  # copies
PAGES_CUT = 11


def planted_breaks(rig: Rig, folders: Sequence[Path], chance: random.Random) -> dict[str, int]:
    """Copies of the logs in which something was altered or cut; each must be found by what the others say."""
    planted = found = 0
    root = rig.folder / "planted"
    kept = {folder: read_log(folder, False) for folder in folders}
    clean = broken_words(list(kept.values()))
    for name, process in list(rig.processes.items()):
        if not process.disk.exists():
            continue
        for place, tamper in enumerate(TAMPERINGS):
            copy = root / f"{name}-{place}"
            shutil.copytree(process.disk, copy)
            if not tamper(copy, chance):
                continue
            planted += 1
            says = broken_words(list((kept | {process.disk: read_log(copy, False)}).values()))
            found += any(name in words for words in says - clean)
        if planted >= ENOUGH:
            break
    return {"chain_breaks_planted": planted, "chain_breaks_found": found}


def broken_words(logs: Sequence[DispatcherLog]) -> set[str]:
    """What is said of logs that are not whole; what was decided in them is left out."""
    told = [
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
    return {finding.text for finding in check(told, GRACE)}


def flip(folder: Path, chance: random.Random) -> bool:
    """A bit in the first half of the greatest file is another."""
    file = max(folder.glob(LOGS), key=lambda each: each.stat().st_size)
    data = bytearray(file.read_bytes())
    data[chance.randrange(len(MAGIC), max(len(MAGIC) + 1, len(data) // 2))] ^= 1 << chance.randrange(8)
    file.write_bytes(bytes(data))
    return True


class Frame(NamedTuple):
    """A frame in a file: where it begins and ends, and its body."""

    began: int
    ended: int
    body: bytes

    @property
    def kind(self) -> int:
        """The kind of its record, one of Kind."""
        return self.body[FRAME_STAMP.size]


def frames(data: bytes) -> list[Frame]:
    """All whole frames of a file."""
    found, at = list[Frame](), len(MAGIC)
    while (whole := frame_at(data, at)) is not None:
        body, ended = whole
        found.append(Frame(at, ended, body))
        at = ended
    return found


def framed(body: bytes) -> bytes:
    """A body with its frame's head and checksum."""
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def cut_tail(folder: Path, chance: random.Random) -> bool:
    """The last file ends at a seal some pages before its end, as if nothing more had been written."""
    file = max(folder.glob(LOGS))
    data = file.read_bytes()
    seals = [frame.ended for frame in frames(data) if frame.kind == Kind.SEAL]
    if len(seals) <= PAGES_CUT:
        return False
    file.write_bytes(data[: seals[-PAGES_CUT]])
    return True


def drop_file(folder: Path, chance: random.Random) -> bool:
    """The second of several files is gone."""
    files = sorted(folder.glob(LOGS))
    if len(files) < 3:
        return False
    files[1].unlink()
    return True


def rewrite(folder: Path, chance: random.Random) -> bool:
    """One who knows the format alters a send in the last file, and makes all checksums and seals right
    again."""
    file = max(folder.glob(LOGS))
    rows = frames(file.read_bytes())
    sent = next((place for place, frame in enumerate(rows) if frame.kind == Kind.SENT), None)
    if sent is None:
        return False
    bodies = [frame.body for frame in rows]
    changed = bytearray(bodies[sent])
    changed[FRAME_STAMP.size + 1] ^= 1  # the attempt's number
    bodies[sent] = bytes(changed)
    before = bytes.fromhex(log_head(rows[0].body)["before"])
    file.write_bytes(MAGIC + sealed_anew(before, bodies))
    return True


def sealed_anew(digest: bytes, bodies: Sequence[bytes]) -> bytes:
    """Frames of these bodies, with each seal's digest as the bodies before it give it."""
    out, page = bytearray(), b""
    for body in bodies:
        if body[FRAME_STAMP.size] == Kind.SEAL:
            digest = digest_after(digest, page)
            kind, number, count = SEAL_RECORD.unpack_from(body, FRAME_STAMP.size)
            out += framed(body[: FRAME_STAMP.size] + SEAL_RECORD.pack(kind, number, count) + digest)
            page = b""
        else:
            page += framed(body)
            out += framed(body)
    return bytes(out)


def log_head(body: bytes) -> dict[str, Any]:
    """What a file's first record tells."""
    (size,) = struct.unpack_from("!H", body, FRAME_STAMP.size + 1)
    told: dict[str, Any] = json.loads(
        zlib.decompress(body[FRAME_STAMP.size + 3 : FRAME_STAMP.size + 3 + size])
    )
    return told


# Each alters the log in a folder, and tells whether it could: a short log gives nothing to cut.
TAMPERINGS: tuple[Callable[[Path, random.Random], bool], ...] = (flip, cut_tail, drop_file, rewrite)
