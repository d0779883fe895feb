"""Whether this process may open some more file descriptors."""

import errno
import os


def check_free(count: int) -> None:
    """Find out whether some descriptors are free, without keeping any.

    Args:
        count: How many are needed.

    Raises:
        OSError: There are fewer; EMFILE, as where one can't be opened.
    """
    taken: list[int] = []
    try:
        for _ in range(count):
            taken.append(_take())
    except OSError as error:
        problem = f"{len(taken)} descriptors are free, {count} are needed"
        raise OSError(errno.EMFILE, problem) from error
    finally:
        for descriptor in taken:
            os.close(descriptor)


def _take() -> int:
    return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
