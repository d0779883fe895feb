"""Entry point of the frozen program."""

from passtally.cli import main

main()
