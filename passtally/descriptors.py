"""A check for free file descriptors."""

import errno
import os


def check_free(count: int) -> None:
    """Check that a number of descriptors can be opened, and close them again.

    Args:
        count: The number of descriptors needed.

    Raises:
        OSError: Fewer are free; its errno is EMFILE, as for a failed open.
    """
    opened: list[int] = []
    try:
        for _ in range(count):
            opened.append(_open_null())
    except OSError as error:
        problem = f"{len(opened)} descriptors are free, {count} are needed"
        raise OSError(errno.EMFILE, problem) from error
    finally:
        for descriptor in opened:
            os.close(descriptor)


def _open_null() -> int:
    return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
