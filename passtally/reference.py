"""Reference pages generated from the code; a test compares them with docs/."""

from collections.abc import Callable, Iterable

import attrs

from passtally.metrics import PREFIX, Metric
from passtally.outcome import Code
from passtally.settings import Settings, flag_of, variable_of


def render_configuration() -> str:
    """Return the text of docs/CONFIGURATION.md."""
    rows = []
    for field in attrs.fields(Settings):
        default = field.metadata["default"]
        shown = (
            "required" if default is None else f"`{default}`" if default else "empty"
        )
        rows.append(
            (
                f"`{flag_of(field.name)}`",
                f"`{variable_of(field.name)}`",
                shown,
                field.metadata["help"],
            )
        )
    return _page(
        "Configuration",
        "The settings of `passtally serve`, as flags or environment variables. All are"
        " checked at the start. Invalid ones are named, and the exit code is 2.",
        ("Flag", "Variable", "Default", "Meaning"),
        rows,
    )


def render_metrics() -> str:
    """Return the text of docs/METRICS.md."""
    rows = [(f"`{m}`", m.kind, m.unit, m.meaning) for m in Metric]
    return _page(
        "Metrics",
        f"Sent by statsd as `{PREFIX}.HOST.NAME`, gauges every 10 s. Where metrics are"
        " served as text, gauges show their current values, and"
        f" the names are `{PREFIX}_NAME_total` for counters,"
        f" `{PREFIX}_NAME_seconds` for timers and `{PREFIX}_NAME` for gauges.",
        ("Name", "Type", "Unit", "Meaning"),
        rows,
    )


def render_errors() -> str:
    """Return the text of docs/ERRORS.md."""
    rows = [(f"`{code}`", code.meaning) for code in Code]
    return _page(
        "Error codes",
        "Every error has a `code`, a `message`, an `outcome` (`not_run` or"
        " `unknown`), the `step` and `peer` at which it arose, and, if a retry can"
        " succeed, a `retry_after` in seconds.",
        ("Code", "Meaning"),
        rows,
    )


PAGES: dict[str, Callable[[], str]] = {
    "CONFIGURATION": render_configuration,
    "METRICS": render_metrics,
    "ERRORS": render_errors,
}


def _page(
    title: str, text: str, heads: tuple[str, ...], rows: Iterable[tuple[str, ...]]
) -> str:
    lines = [f"# {title}", "", text, "", _row(heads), _row(["---"] * len(heads))]
    lines += [_row(row) for row in rows]
    return "\n".join(lines) + "\n"


def _row(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"
