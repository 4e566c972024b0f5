"""Errors of system calls that may be over within a moment, and say nothing of the far side."""

import errno

OWN_SHORTAGE = {  # of descriptors, memory, buffers or ports on our machine
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
}
TRANSIENT = OWN_SHORTAGE | {errno.EINTR}
READING_MAY_PASS = TRANSIENT | {errno.EIO}  # of a file


def name_of(fault: OSError) -> str:
    """The name of an error's number, for the log."""
    return errno.errorcode.get(fault.errno or 0, str(fault.errno))
