"""Lists the late and lost requests of a simulated day with time, host and cause.

    python -m bench.losses LOG [REPORT] [--json]

LOG has lines ``SECONDS HOST {JSON}``: log lines of the hosts, prefixed with the seconds
since the start of the day and the host. Other lines are ignored. REPORT is the day's
report as JSON; its list of events names the faults.
"""

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import attrs
import click

#: Default limits of callers on the first output and on pauses, in milliseconds, as in
#: the requirements of the simulated deployment.
FIRST_MS = 4_500.0
PAUSE_MS = 700.0
#: Length of the time windows by which the table groups requests.
WINDOW_SECONDS = 2.0

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
_STREAMED = re.compile(r"first after (\d+) ms, longest pause (\d+) ms")
_NUMBERS = re.compile(r"\d[\d:.]*")
_ROUTE = "passtally:route"
_RETRY = "passtally:retry"


@attrs.frozen(kw_only=True)
class LogLine:
    """One log line of a host.

    Attributes:
        at: Time of the line, in seconds since the start of the day.
        host: Id of the host.
        fields: Fields of the log message.
    """

    at: float
    host: str
    fields: dict


@attrs.frozen(kw_only=True)
class Loss:
    """Request that was late or lost.

    Attributes:
        request: Request id.
        window: Start of the time window in which the request began, in seconds
            since the start of the day.
        host: Host that received the request.
        endpoint: Last endpoint that the request was sent to, or empty.
        phase: Progress of the request: ``gate`` (not placed), ``placed`` (sent to
            an endpoint), ``read`` (lost before its first output) or ``resume``
            (placed or lost after its first output).
        cause: Reason why the request was late or lost.
        faults: Kinds of the faults that were active while the request was open.
    """

    request: str
    window: float
    host: str
    endpoint: str
    phase: str
    cause: str
    faults: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Fault:
    """Fault during the day, from ``begin`` to ``end`` in seconds since its start."""

    kind: str
    begin: float
    end: float


def read_log(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of the hosts; lines in any other format are ignored."""
    for line in lines:
        found = _LINE.match(line)
        if found is None:
            continue
        try:
            fields = json.loads(found[3])
        except ValueError:
            continue
        yield LogLine(at=float(found[1]), host=found[2], fields=fields)


def read_faults(report: dict) -> list[Fault]:
    """Return the faults listed in the report of a day."""
    return [
        Fault(kind=row["kind"], begin=row["at_s"], end=row["to_s"])
        for row in report.get("events", ())
    ]


def find_losses(
    lines: Iterable[LogLine],
    faults: Sequence[Fault] = (),
    *,
    first_ms: float = FIRST_MS,
    pause_ms: float = PAUSE_MS,
) -> list[Loss]:
    """Return the requests that were late or lost, ordered by time window.

    Args:
        lines: Log lines of all hosts.
        faults: Faults of the day.
        first_ms: Maximum time to the first output, in milliseconds.
        pause_ms: Maximum pause between two outputs, in milliseconds.
    """
    lines_by_request: dict[str, list[LogLine]] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            lines_by_request.setdefault(request, []).append(line)
    losses = []
    for request, request_lines in lines_by_request.items():
        cause = _find_cause(request_lines, first_ms, pause_ms)
        if cause:
            losses.append(_describe(request, request_lines, cause, faults))
    return sorted(losses, key=lambda loss: loss.window)


def _find_cause(
    request_lines: Sequence[LogLine], first_ms: float, pause_ms: float
) -> str:
    """Return why a request was late or lost; empty if it met its limits."""
    ends = [line.fields for line in request_lines if "result" in line.fields]
    if not ends:
        return "no end: its host was lost"
    result = str(ends[-1]["result"])
    if result.startswith("answered: 2"):
        return ""
    found = _STREAMED.search(result)
    if found is None:
        return _NUMBERS.sub("N", result)
    if float(found[1]) > first_ms:
        return "late: first output"
    return "late: pause" if float(found[2]) > pause_ms else ""


def _describe(
    request: str, request_lines: Sequence[LogLine], cause: str, faults: Sequence[Fault]
) -> Loss:
    begin, end = request_lines[0].at, request_lines[-1].at
    choices = [line.fields for line in request_lines if _kind(line) in (_ROUTE, _RETRY)]
    routes = [row for row in choices if row["message_type"] == _ROUTE]
    losses = [row for row in choices if row["message_type"] == _RETRY]
    if losses and cause.startswith("late"):
        cause = f"{cause} after {losses[-1]['reason']}"
    return Loss(
        request=request,
        window=begin // WINDOW_SECONDS * WINDOW_SECONDS,
        host=request_lines[0].host,
        endpoint=str(routes[-1].get("choice")) if routes else "",
        phase=_find_phase(routes, losses),
        cause=cause,
        faults=tuple(
            fault.kind for fault in faults if fault.begin <= end and begin <= fault.end
        ),
    )


def _find_phase(routes: Sequence[dict], losses: Sequence[dict]) -> str:
    """Return the phase of a request, from the last route or retry decision."""
    if not routes:
        return "gate"
    position = (losses or routes)[-1].get("position")
    if not losses:
        return "resume" if position else "placed"
    return "resume" if position else "read"


def _kind(line: LogLine) -> str:
    return line.fields.get("message_type", "")


def show_table(losses: Sequence[Loss]) -> Iterator[str]:
    """Yield the table: request counts by window, host, phase, cause and faults."""
    counts = Counter(
        (loss.window, loss.host, loss.phase, loss.cause, ", ".join(loss.faults))
        for loss in losses
    )
    for (window, host, phase, cause, faults), count in sorted(counts.items()):
        yield f"{count:4} {window:6.0f} s  {host}  {phase:7} {cause}  [{faults}]"
    yield f"{len(losses):4} late or lost"


@click.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
@click.argument("report", type=click.Path(exists=True, path_type=Path), required=False)
@click.option("--first-ms", default=FIRST_MS, show_default=True)
@click.option("--pause-ms", default=PAUSE_MS, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON row for each request.")
def main(
    log: Path, report: Path | None, first_ms: float, pause_ms: float, as_json: bool
) -> None:
    """List the requests of a simulated day that were late or lost."""
    faults = read_faults(json.loads(report.read_text())) if report else []
    with log.open(errors="replace") as lines:
        losses = find_losses(
            read_log(lines), faults, first_ms=first_ms, pause_ms=pause_ms
        )
    if as_json:
        for loss in losses:
            click.echo(json.dumps(attrs.asdict(loss)))
        return
    for line in show_table(losses):
        click.echo(line)


if __name__ == "__main__":
    main()
