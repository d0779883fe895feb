"""Standard input, output and error of a process that may have been started without.

Imports little, since it is needed before the rest of the program is loaded.
"""

import os
import sys

#: Standard input, output and error.
_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Lead nowhere what is closed, so that no connection is given its number.

    What the program or a library writes to standard output or error would otherwise go
    to a caller.
    """
    for number in _DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free number is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)
    # Libraries ask these about themselves when they are imported.
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)
