"""Run the command line as ``python -m passtally``."""

from passtally.cli import main

main()
