"""Tells which requests of a played day were late or lost, when, where and why.

    python -m bench.losses LOG [REPORT] [--json]

LOG holds lines ``SECONDS HOST {JSON}``, the hosts' own log lines with the time of the
day before them; other lines are passed over. REPORT is the day's report as JSON, whose
list of events tells the faults.
"""

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import attrs
import click

#: A caller's limits where none are given: the sheet of the deployment that was played.
FIRST_MS = 4_500.0
PAUSE_MS = 700.0
#: Requests are gathered by moments of this length.
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
        at: When, in seconds of the day.
        host: The host.
        fields: What it says.
    """

    at: float
    host: str
    fields: dict


@attrs.frozen(kw_only=True)
class Loss:
    """One request that was late or lost.

    Attributes:
        request: Its id.
        window: The moment at which it began, in seconds of the day.
        host: The host that took it.
        endpoint: The last endpoint that it was sent to, or empty.
        phase: How far it had come: ``gate``, ``placed``, ``read`` or ``resume``.
        cause: Why it was late or lost.
        faults: The faults that were under way while it was open.
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
    """One fault of the day."""

    kind: str
    begin: float
    end: float


def read_log(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the hosts' log lines; what is no such line is passed over."""
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
    """Return the faults that a day's report names."""
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
    """Return the requests that were late or lost, in the order in which they began.

    Args:
        lines: The hosts' log lines.
        faults: The faults of the day.
        first_ms: Within what time the first output is to come.
        pause_ms: The longest pause that callers allow.
    """
    lines_by_request: dict[str, list[LogLine]] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            lines_by_request.setdefault(request, []).append(line)
    losses = []
    for request, story in lines_by_request.items():
        cause = _find_cause(story, first_ms, pause_ms)
        if cause:
            losses.append(_describe(request, story, cause, faults))
    return sorted(losses, key=lambda loss: loss.window)


def _find_cause(story: Sequence[LogLine], first_ms: float, pause_ms: float) -> str:
    """Return why a request was late or lost; empty for one in time."""
    ends = [line.fields for line in story if "result" in line.fields]
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
    request: str, story: Sequence[LogLine], cause: str, faults: Sequence[Fault]
) -> Loss:
    begin, end = story[0].at, story[-1].at
    choices = [line.fields for line in story if _kind(line) in (_ROUTE, _RETRY)]
    routes = [row for row in choices if row["message_type"] == _ROUTE]
    losses = [row for row in choices if row["message_type"] == _RETRY]
    if losses and cause.startswith("late"):
        cause = f"{cause} after {losses[-1]['reason']}"
    return Loss(
        request=request,
        window=begin // WINDOW_SECONDS * WINDOW_SECONDS,
        host=story[0].host,
        endpoint=str(routes[-1].get("choice")) if routes else "",
        phase=_find_phase(routes, losses),
        cause=cause,
        faults=tuple(
            fault.kind for fault in faults if fault.begin <= end and begin <= fault.end
        ),
    )


def _find_phase(routes: Sequence[dict], losses: Sequence[dict]) -> str:
    """Return how far a request had come, by the last decision on it."""
    if not routes:
        return "gate"
    position = (losses or routes)[-1].get("position")
    if not losses:
        return "resume" if position else "placed"
    return "resume" if position else "read"


def _kind(line: LogLine) -> str:
    return line.fields.get("message_type", "")


def show_table(losses: Sequence[Loss]) -> Iterator[str]:
    """Yield the lines of a table: how many were lost, by moment, host and cause."""
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
    """Tell which requests of a played day were late or lost."""
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
