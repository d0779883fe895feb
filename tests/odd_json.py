"""JSON as other writers may leave it: nested too deep, too large, of another type."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import msgspec
from hypothesis import strategies as st

from passtally.fetch import Fetched
from passtally.platform.adapter import PlatformAdapter
from passtally.platform.store import PlatformStore
from passtally.platform.version_store import PlatformVersionStore

#: JSON values that decoders, or the types behind them, reject in ways of their own.
ODD_VALUES = [
    b"null",
    b"true",
    b'""',
    b'"\xff"',
    b'"\\ud83d"',
    b"{}",
    b"[]",
    b"-1",
    b"0",
    b"1.5",
    b"70000",
    b"1e300",
    b"-1e300",
    b"1e999",
    b"NaN",
    b"Infinity",
    b"9223372036854775808",
    b"1" + b"0" * 30,
    b"-1" + b"0" * 30,
    b"1" + b"0" * 400,
    b"1" + b"0" * 5000,
    b'"127.0.0.1:' + b"9" * 5000 + b'"',
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 900 + b"1" + b"}" * 900,
]

anything = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)

_PLACE = b'"the place of the odd value"'


class Answers:
    """A fetcher that returns prepared answers one after the other."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)

    async def fetch(self, method: str, url: str, **fields) -> Fetched:
        return Fetched(status=200, body=self.bodies.pop(0))


def open_versions(
    store: PlatformStore, *, heartbeat: timedelta = timedelta(seconds=1)
) -> PlatformVersionStore:
    """Return the records of software versions in a store."""
    return PlatformAdapter().open_versions(store, heartbeat=lambda: heartbeat)


def item(name: str, revision: int, spec: bytes) -> bytes:
    """Return an object of the store, with raw JSON for its spec."""
    head = b'{"metadata":{"name":"%b","revision":%d},"spec":'
    return head % (name.encode(), revision) + spec + b"}"


def odd_versions(sample: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy for the JSON of a sample in which one part is replaced.

    The part is a field or an item at any depth, an unknown field, or the whole sample.
    """
    odd = st.sampled_from(ODD_VALUES) | anything.map(msgspec.json.encode)
    return st.builds(
        lambda path, value: replace_part(sample, path, value),
        st.sampled_from([*_paths(sample)]),
        odd,
    )


def replace_part(sample: Any, path: tuple[str | int, ...], value: bytes) -> bytes:
    """Return the JSON of a sample with raw JSON in place of one part."""
    return msgspec.json.encode(_with_place(sample, path)).replace(_PLACE, value)


def _paths(sample: Any, start: tuple[str | int, ...] = ()) -> Iterator[tuple]:
    yield start
    if isinstance(sample, dict):
        yield (*start, "unknown")
        for key, part in sample.items():
            yield from _paths(part, (*start, key))
    elif isinstance(sample, list):
        for index, part in enumerate(sample):
            yield from _paths(part, (*start, index))


def _with_place(sample: Any, path: tuple[str | int, ...]) -> Any:
    if not path:
        return msgspec.Raw(_PLACE)
    key, *rest = path
    if isinstance(sample, dict):
        return sample | {key: _with_place(sample.get(key), tuple(rest))}
    return [
        _with_place(part, tuple(rest)) if index == key else part
        for index, part in enumerate(sample)
    ]
