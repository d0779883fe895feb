"""Where the frozen program starts."""

from passtally.cli import main

main()
