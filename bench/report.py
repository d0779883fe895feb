"""Figures of benchmarks: output, the saved report, and upper bounds."""

import json
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

FOLDER = Path(__file__).parent
BOUNDS = FOLDER / "bounds.json"
REPORT = FOLDER / "report.json"


@attrs.frozen(kw_only=True)
class Figure:
    """Measured figure.

    Attributes:
        name: Name in the form ``benchmark.figure``.
        value: Measured value, in ``unit``.
        unit: Unit of the value.
    """

    name: str
    value: float
    unit: str


Benchmark = Callable[[], Sequence[Figure]]


def show(figures: Sequence[Figure]) -> None:
    """Print one line per figure with name, value and unit."""
    for figure in figures:
        print(f"{figure.name:58}{figure.value:12.3f}  {figure.unit}")


def write(figures: Sequence[Figure]) -> None:
    """Update the report; figures that are not given keep their saved values."""
    known = json.loads(REPORT.read_text()) if REPORT.exists() else {}
    for figure in figures:
        known[figure.name] = {"value": round(figure.value, 4), "unit": figure.unit}
    REPORT.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")


def find_broken(figures: Sequence[Figure]) -> list[str]:
    """Return a message for each figure above its bound."""
    bounds = json.loads(BOUNDS.read_text())
    return [
        f"{figure.name} is {figure.value:.3f}, above its bound {bounds[figure.name]}"
        for figure in figures
        if figure.name in bounds and figure.value > bounds[figure.name]
    ]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value at a quantile between 0 and 1."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]
