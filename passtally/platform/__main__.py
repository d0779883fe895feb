"""Starts an entry host: what can't wait for the imports, then the program."""

import os
import signal
import sys

#: Standard input, output and error.
STANDARD_DESCRIPTORS = (0, 1, 2)


def main() -> None:
    """Run an entry host until it is told to stop."""
    # The default action would end a process that is told to read its settings again
    # before it can; they are read after this in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Even these imports take 10 ms, in which such a signal would end the process.
    from passtally.platform.settings_file import listen_early, settings_path
    from passtally.stop_signals import StopSignals

    signals = StopSignals()
    signals.catch()
    open_standard_descriptors()
    path = settings_path()
    front_socket = listen_early(path)
    # Importing the rest takes a third of a second of a host's processor.
    from passtally.platform.process import run

    run(path, front_socket, signals)


def open_standard_descriptors() -> None:
    """Lead nowhere what is closed, so that no connection is given its number.

    What the program or a library writes to standard output or error would otherwise go
    to a caller.
    """
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free number is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)
    # Libraries ask these about themselves when they are imported.
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)


if __name__ == "__main__":
    main()
