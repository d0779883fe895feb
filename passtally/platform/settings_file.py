"""Reads the platform's settings file before the rest of the program is imported.

See ``__main__``: this module imports little besides the standard library.
"""

import os
import socket
from pathlib import Path

from passtally.listening import listen_at

#: The environment variable with the path of the settings file.
FILE_VARIABLE = "PASSTALLY_CONFIG"
#: The key of the address that callers connect to, as IP:PORT.
FRONT_KEY = "listen.front"


def settings_path() -> Path:
    """Return the path of the settings file from the environment."""
    return Path(os.environ.get(FILE_VARIABLE, ""))


def read_text(path: Path) -> str:
    """Read a settings file, with U+FFFD in place of bytes that are not UTF-8.

    A host can do without them: keys that it does not know may hold any bytes.

    Raises:
        OSError: The file can't be read.
    """
    return path.read_text(encoding="utf-8-sig", errors="replace")


def parse_lines(text: str) -> dict[str, str]:
    """Parse lines of the form ``a.b=value``; other lines are skipped."""
    values_by_key = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator and key.strip():
            values_by_key[key.strip()] = value.strip()
    return values_by_key


def listen_early(path: Path) -> socket.socket:
    """Listen at the address for callers before the program is loaded.

    Connections that arrive meanwhile wait instead of being refused. Problems of the
    settings are reported later, when the settings are checked.

    Raises:
        ValueError: The settings name no valid address.
        OverflowError: The port is out of range.
        OSError: The file can't be read, or the address can't be bound.
    """
    address = parse_lines(read_text(path)).get(FRONT_KEY, "")
    host, _, port = address.rpartition(":")
    return listen_at(host, int(port))
