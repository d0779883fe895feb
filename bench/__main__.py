"""Command line of the benchmarks: ``python -m bench [NAME ...]``."""

import importlib
import sys

from bench.report import find_broken, show, write

NAMES = ("catalog", "claims", "silence", "policy", "control", "forward", "survive")


def main() -> None:
    """Run benchmarks, print and save the figures; exit 1 if a bound is exceeded."""
    broken = []
    for name in sys.argv[1:] or NAMES:
        figures = importlib.import_module(f"bench.{name}").run()
        show(figures)
        write(figures)
        broken += find_broken(figures)
    for line in broken:
        print(f"BROKEN: {line}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
