"""Tells one request's story from a log file."""

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

#: Fields that each line has anyway.
_COMMON = frozenset(
    ("message", "message_type", "timestamp", "task_uuid", "task_level", "request")
)


def trace(lines: Iterable[str], request_id: str) -> Iterator[str]:
    """Yield one readable line for each log line that concerns a request.

    Args:
        lines: The log's lines; those that are not JSON are passed over.
        request_id: The request, generation or intent.
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
            yield _describe(row)


def _describe(row: dict) -> str:
    at = datetime.fromtimestamp(row.get("timestamp", 0), UTC)
    rest = " ".join(
        f"{name}={_show(value)}" for name, value in row.items() if name not in _COMMON
    )
    return f"{at:%H:%M:%S.%f} {row.get('message', '')} {rest}".rstrip()


def _show(value: object) -> str:
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
