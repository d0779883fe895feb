"""Starts an entry host: what can't wait for the imports, then the program."""

import signal


def main() -> None:
    """Run an entry host until it is told to stop."""
    # The default action would end a process that is told to read its settings again
    # before it can; they are read after this in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Even these imports take 10 ms, in which such a signal would end the process.
    from passtally.platform.settings_file import listen_early, settings_path
    from passtally.standard_streams import open_standard_streams
    from passtally.stop_signals import StopSignals

    signals = StopSignals()
    signals.catch()
    open_standard_streams()
    path = settings_path()
    front_socket = problem = None
    try:
        front_socket = listen_early(path)
    except (OSError, ValueError, OverflowError) as error:
        # Told once there is a log: standard error may be full, and hold the host up.
        problem = error
    # Importing the rest takes a third of a second of a host's processor.
    from passtally.platform.process import run

    run(path, signals, front_socket=front_socket, problem=problem)


if __name__ == "__main__":
    main()
