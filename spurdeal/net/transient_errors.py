"""Errors of system calls that may be over within a moment, and say nothing of the far side."""

import errno

LOCAL_RESOURCE_ERRORS = {  # of descriptors, memory, buffers or ports on our machine
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
}
TRANSIENT = LOCAL_RESOURCE_ERRORS | {errno.EINTR}
TRANSIENT_FILE_ERRORS = TRANSIENT | {errno.EIO}  # of a file


def errno_name(fault: OSError) -> str:
    """The name of an error's number, for the log."""
    return errno.errorcode.get(fault.errno or 0, str(fault.errno))
