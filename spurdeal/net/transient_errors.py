"""Transient errors of system calls: they may pass soon, and say nothing about the peer."""

import errno

LOCAL_RESOURCE_ERRORS = {  # shortage of descriptors, memory, buffers or ports on this machine
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOSPC,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
}
TRANSIENT = LOCAL_RESOURCE_ERRORS | {errno.EINTR}
TRANSIENT_FILE_ERRORS = TRANSIENT | {errno.EIO}  # when reading a file


def errno_name(error: OSError) -> str:
    """The symbolic name of an error's errno, for the log."""
    return errno.errorcode.get(error.errno or 0, str(error.errno))
