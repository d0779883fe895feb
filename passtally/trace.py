"""Extraction of the log lines of one request."""

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

#: Fields that are not printed after the message: they are in every line, part of the
#: printed text already, or the id that was asked for.
_OMITTED_FIELDS = frozenset(
    ("message", "message_type", "timestamp", "task_uuid", "task_level", "request")
)


def trace(lines: Iterable[str], request_id: str) -> Iterator[str]:
    """Yield one line of readable text for each log line about a request.

    Args:
        lines: The lines of the log. Lines that are not JSON are skipped.
        request_id: The id of the request, generation or intent.
    """
    for line in lines:
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if isinstance(row, dict) and request_id in (
            row.get("request"),
            row.get("intent"),
        ):
            yield _format_row(row)


def _format_row(row: dict) -> str:
    at = datetime.fromtimestamp(row.get("timestamp", 0), UTC)
    rest = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in row.items()
        if name not in _OMITTED_FIELDS
    )
    return f"{at:%H:%M:%S.%f} {row.get('message', '')} {rest}".rstrip()


def _format_value(value: object) -> str:
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
