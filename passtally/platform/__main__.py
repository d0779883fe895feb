"""Starts an entry host: what can't wait for the imports, then the program."""

import signal

from passtally.platform.settings_file import listen_early, settings_path
from passtally.stop_signals import StopSignals


def main() -> None:
    """Run an entry host until it is told to stop."""
    # The default action would end a process that is told to read its settings again
    # before it can; they are read after this in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signals = StopSignals()
    signals.catch()
    path = settings_path()
    front_socket = listen_early(path)
    # Importing the rest takes a third of a second of a host's processor.
    from passtally.platform.process import run

    run(path, front_socket, signals)


if __name__ == "__main__":
    main()
