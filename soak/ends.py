"""How the processes of hosts ended, and which ends break a promise."""

import signal

import attrs

#: What the platform sends when a host is to stop as planned.
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
#: After these whoever sent them starts the host again.
ENDING_SIGNALS = STOP_SIGNALS | {signal.SIGKILL}

#: How Python ends on SIGINT while it sets itself up, some 20 ms after the exec.
INTERRUPTED_STATUS = 1
INTERRUPTED_LINE = "KeyboardInterrupt"


@attrs.frozen(kw_only=True)
class Told:
    """One signal that the soak sent to a process.

    Attributes:
        number: Which.
        had_begun: Whether the program ran by then. Before its first line runs it
            can't help that a signal ends it, and nobody could reach it.
    """

    number: signal.Signals
    had_begun: bool = True


@attrs.frozen(kw_only=True)
class End:
    """How one life of a host ended.

    Attributes:
        host: The host's name.
        life: Which of its lives.
        status: Its exit status; negative for the signal that ended it.
        told: What the soak had sent it.
        began_at: When it was started, on the monotonic clock, in seconds.
        lasted: How long it lived, in seconds.
        last_line: The last line of its log.
    """

    host: str
    life: int
    status: int
    told: tuple[Told, ...] = ()
    began_at: float = 0.0
    lasted: float = 0.0
    last_line: str = ""

    @property
    def is_allowed(self) -> bool:
        """Whether the host ended as it was told to."""
        numbers = {told.number for told in self.told}
        if self.status == 0:
            return bool(numbers & STOP_SIGNALS)
        if self.status == -signal.SIGKILL:
            return signal.SIGKILL in numbers
        return any(self._is_by(told.number) for told in self.told if not told.had_begun)

    def _is_by(self, number: signal.Signals) -> bool:
        """Whether a signal ended it, also where it met the interpreter's own start."""
        if number is signal.SIGINT and self.last_line == INTERRUPTED_LINE:
            return self.status in (-number, INTERRUPTED_STATUS)
        return self.status == -number

    def describe(self) -> str:
        """Return what happened, for the reader of a run."""
        numbers = {told.number for told in self.told}
        how = "stopped" if numbers & STOP_SIGNALS else "ended by itself"
        return (
            f"{self.host}.{self.life} {how} with status {self.status}"
            f" after {self.lasted:.2f} s: {self.last_line or 'no line'}"
        )
