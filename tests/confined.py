"""Run a module under a seccomp filter that kills the process (SIGSYS) at the first forbidden system call.

    python tests/confined.py MODULE

Forbidden is what the operators' fleet test refuses: execve, fork, io_uring, splice, sendfile, and sockets
other than IPv4. The filter (Linux's Documentation/userspace-api/seccomp_filter.rst) applies to this process
only and needs no privileges. It also catches calls that libraries make, which no hook of the interpreter
would see.
"""

import ctypes
import platform
import runpy
import socket
import struct
import sys

KILL, ALLOW, REFUSE = 0x80000000, 0x7FFF0000, 0x00050000
LOAD, EQUAL, ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06
NUMBER, ARCHITECTURE, FIRST_WORD = 0, 4, 16  # offsets in struct seccomp_data
CLONE_THREAD, ENOSYS = 0x10000, 38
NO_NEW_PRIVILEGES, SET_SECCOMP, MODE_FILTER = 38, 22, 2
TABLES = {  # by machine: audit architecture, forbidden calls, clone, clone3, socket
    "x86_64": (
        0xC000003E,
        {
            "execve": 59,
            "execveat": 322,
            "fork": 57,
            "vfork": 58,
            "io_uring_setup": 425,
            "splice": 275,
            "vmsplice": 278,
            "tee": 276,
            "sendfile": 40,
            "socketpair": 53,
        },
        56,
        435,
        41,
    ),
    "aarch64": (
        0xC00000B7,
        {
            "execve": 221,
            "execveat": 281,
            "io_uring_setup": 425,
            "splice": 76,
            "vmsplice": 75,
            "tee": 77,
            "sendfile": 71,
            "socketpair": 199,
        },
        220,
        435,
        198,
    ),
}


def program() -> list[tuple[int, int, int, int]]:
    """The BPF filter: operation, jump if true, jump if false, operand. Of clones only threads are allowed."""
    architecture, forbidden, clone, clone3, opened = TABLES[platform.machine()]
    steps = [
        (LOAD, 0, 0, ARCHITECTURE),
        (EQUAL, 1, 0, architecture),
        (RETURN, 0, 0, KILL),
        (LOAD, 0, 0, NUMBER),
    ]
    for number in forbidden.values():
        steps += [(EQUAL, 0, 1, number), (RETURN, 0, 0, KILL)]
    # A filter cannot read the flags of clone3 in memory; after ENOSYS the C library falls back to clone.
    steps += [(EQUAL, 0, 1, clone3), (RETURN, 0, 0, REFUSE | ENOSYS)]
    for number, test, word in ((clone, ANY_BIT, CLONE_THREAD), (opened, EQUAL, int(socket.AF_INET))):
        steps += [
            (EQUAL, 0, 4, number),
            (LOAD, 0, 0, FIRST_WORD),
            (test, 0, 1, word),
            (RETURN, 0, 0, ALLOW),
            (RETURN, 0, 0, KILL),
        ]
    return [*steps, (RETURN, 0, 0, ALLOW)]


def confine() -> None:
    """Install the filter for this process and its later threads.

    Raises:
        OSError: The kernel refused the filter.
    """
    steps = program()
    instructions = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in steps))
    prog = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(steps), ctypes.addressof(instructions)))
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(NO_NEW_PRIVILEGES, 1, 0, 0, 0) or libc.prctl(SET_SECCOMP, MODE_FILTER, prog, 0, 0):
        raise OSError(ctypes.get_errno(), "the kernel refused the seccomp filter")


if __name__ == "__main__":
    module = sys.argv[1]
    sys.argv[1:], sys.path[0] = [], "."
    confine()
    runpy.run_module(module, run_name="__main__", alter_sys=True)
