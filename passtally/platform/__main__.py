"""Starts an entry host: first signals and listening, then the slow imports."""

import signal


def main() -> None:
    """Run an entry host until a signal stops it."""
    # The default action of SIGHUP would terminate a process that is asked to reload
    # before it can. Nothing is lost by ignoring it: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Even these imports take 10 ms, in which a SIGHUP would terminate the process.
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
        # Logged later, when the log is open: writing to a full standard error would
        # block the start.
        problem = error
    # Importing the rest takes a third of a second of processor time.
    from passtally.platform.process import run

    run(path, signals, front_socket=front_socket, problem=problem)


if __name__ == "__main__":
    main()
