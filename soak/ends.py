"""Exits of host processes, and which of them break a promise."""

import signal

import attrs

#: Signals by which the platform stops a host as planned.
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
#: Signals after which their sender restarts the host.
ENDING_SIGNALS = STOP_SIGNALS | {signal.SIGKILL}

#: Exit status and last line of Python on a SIGINT while the interpreter initializes,
#: about 20 ms after the exec.
INTERRUPTED_STATUS = 1
INTERRUPTED_LINE = "KeyboardInterrupt"


@attrs.frozen(kw_only=True)
class SentSignal:
    """One signal that the soak sent to a process.

    Attributes:
        number: The signal.
        had_started: Whether the program was running by then. Before its first line
            runs, it can't handle a signal, and no caller can have reached it.
    """

    number: signal.Signals
    had_started: bool = True


@attrs.frozen(kw_only=True)
class ProcessExit:
    """The exit of one process of a host.

    Attributes:
        host: The host's name.
        process_run: The number of the process among the host's processes.
        status: Its exit status; the negative signal number if a signal terminated it.
        told: The signals that the soak had sent to it.
        began_at: Time of its start on the monotonic clock, in seconds.
        lasted: Time from its start to its exit, in seconds.
        last_line: The last line of its log.
    """

    host: str
    process_run: int
    status: int
    told: tuple[SentSignal, ...] = ()
    began_at: float = 0.0
    lasted: float = 0.0
    last_line: str = ""

    @property
    def is_allowed(self) -> bool:
        """Whether the signals that the soak sent explain the exit."""
        numbers = {told.number for told in self.told}
        if self.status == 0:
            return bool(numbers & STOP_SIGNALS)
        if self.status == -signal.SIGKILL:
            return signal.SIGKILL in numbers
        return any(
            self._is_caused_by(told.number)
            for told in self.told
            if not told.had_started
        )

    def _is_caused_by(self, number: signal.Signals) -> bool:
        """Whether a signal terminated it, also while Python initialized."""
        if number is signal.SIGINT and self.last_line == INTERRUPTED_LINE:
            return self.status in (-number, INTERRUPTED_STATUS)
        return self.status == -number

    def describe(self) -> str:
        """Return the exit in a line for the report of the run."""
        numbers = {told.number for told in self.told}
        how = "stopped" if numbers & STOP_SIGNALS else "ended by itself"
        return (
            f"{self.host}.{self.process_run} {how} with status {self.status}"
            f" after {self.lasted:.2f} s: {self.last_line or 'no line'}"
        )
