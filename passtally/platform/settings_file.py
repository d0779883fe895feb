"""The platform's settings file, read with the standard library alone.

It is looked at before the rest of the program is imported: see ``__main__``.
"""

import os
import socket
from pathlib import Path

#: The environment variable with the path of the settings file.
FILE_VARIABLE = "PASSTALLY_CONFIG"
#: Where callers come in, as IP:PORT.
FRONT_KEY = "listen.front"
LISTEN_BACKLOG = 2048


def settings_path() -> Path:
    """Return where the settings file lies."""
    return Path(os.environ.get(FILE_VARIABLE, ""))


def read_text(path: Path) -> str:
    """Read a settings file; bytes that are no text stand for nothing in particular.

    A host can do without them: fields that it does not know may hold any.

    Raises:
        OSError: The file can't be read.
    """
    return path.read_text(encoding="utf-8-sig", errors="replace")


def parse_lines(text: str) -> dict[str, str]:
    """Read lines of the form ``a.b=value``; others are passed over."""
    values_by_key = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator and key.strip():
            values_by_key[key.strip()] = value.strip()
    return values_by_key


def listen_early(path: Path) -> socket.socket:
    """Listen where callers come in.

    Connections that come now wait until the program is loaded, instead of being
    refused. What is wrong with the settings is told when they are checked.

    Raises:
        ValueError: The settings don't tell.
        OverflowError: The port is no port.
        OSError: The file can't be read, or the address can't be had now.
    """
    address = parse_lines(read_text(path)).get(FRONT_KEY, "")
    host, _, port = address.rpartition(":")
    return _listen(host, int(port))


def _listen(host: str, port: int) -> socket.socket:
    front = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        front.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        front.bind((host, port))
        front.listen(LISTEN_BACKLOG)
    except OSError:
        front.close()
        raise
    return front
