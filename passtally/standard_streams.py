"""Replaces standard input, output and error where a process starts without them.

Imports little, since it is needed before the rest of the program is loaded.
"""

import os
import sys

#: Standard input, output and error.
_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Open closed standard streams on the null device.

    Otherwise a connection could be given the number of a closed stream, and a caller
    would receive what the program or a library writes to standard output or error.
    """
    for number in _DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The system assigns the lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)
    # Python sets these to None for closed streams; libraries use them on import.
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)
