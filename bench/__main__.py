"""Run benchmarks: ``python -m bench [NAME ...]``."""

import importlib
import sys

from bench.report import find_broken, show, write

NAMES = ("catalog", "claims", "silence", "policy", "control", "forward", "survive")


def main() -> None:
    """Run, print, write, and fail where a bound is broken."""
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
