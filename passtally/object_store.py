"""The platform's object API: versions, conditional updates and watches.

Whatever must last or be agreed goes through it. Its protocol is described in
docs/PLATFORM.md. Sources of every failure are named in the errors.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any, Protocol, TypeVar

import attrs
import msgspec

from passtally.fetch import Fetched, Fetcher, FetchError

CALL_TIMEOUT = timedelta(seconds=3)
WATCH_TIMEOUT = timedelta(seconds=20)
REMOVED = b"null"

T = TypeVar("T")


class PlatformError(Exception):
    """The platform did not do what it was asked.

    Args:
        message: What happened.
        step: The call that failed.
        peer: The platform's URL.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} at {peer}: {message}")


class UnavailableError(PlatformError):
    """It gave no answer; a write may have taken effect all the same."""


class ThrottledError(PlatformError):
    """It refused the call unrun, over its rate."""


class ConflictError(PlatformError):
    """The object's version was not the expected one; nothing was written."""


class TooOldError(PlatformError):
    """A watch asked for changes that it no longer keeps; list again."""


@attrs.frozen(kw_only=True)
class StoredObject:
    """One object as the platform keeps it.

    Attributes:
        key: Its path.
        version: The store-wide version of its last change.
        value: Its JSON; ``null`` in a change that removed it.
    """

    key: str
    version: int
    value: msgspec.Raw

    @property
    def is_removed(self) -> bool:
        """Whether the change removed the object."""
        return bytes(self.value) == REMOVED


@attrs.frozen(kw_only=True)
class Listing:
    """Objects, and the store-wide version at which they were read.

    Attributes:
        version: The version.
        objects: The objects; of a watch those that changed.
        keys: Where not all removals since are among the objects, the keys of all
            objects that exist; else None.
    """

    version: int
    objects: tuple[StoredObject, ...]
    keys: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class HostEntry:
    """One line of the lagging host list.

    Attributes:
        id: The host.
        failure_domain: Where it stands.
        state: ``live`` or ``leaving``.
    """

    id: str
    failure_domain: str
    state: str


class Platform(Protocol):
    """The calls that the system makes. Each may raise any PlatformError."""

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects whose keys start with a prefix."""

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None where there is none."""

    async def create(self, key: str, value: bytes) -> int:
        """Create an object that must not exist; return its version."""

    async def update(self, key: str, value: bytes, *, version: int) -> int:
        """Replace an object of exactly this version; return the new one."""

    async def delete(self, key: str, *, version: int) -> None:
        """Remove an object of exactly this version."""

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; an empty listing on a quiet wait."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the lagging list of hosts."""


class MovablePlatform(Platform, Protocol):
    """A client of the platform that can be told another address."""

    def move(self, url: str) -> None:
        """Make further calls at another address."""


class StoreLink:
    """Makes calls to a store over HTTP, and types their failures.

    Args:
        fetcher: Makes the calls.
        url: Where the store listens.
        on_answer: Called with each answer, refusals too, before it is checked.
    """

    def __init__(
        self,
        *,
        fetcher: Fetcher,
        url: str,
        on_answer: Callable[[Fetched], None] = lambda fetched: None,
    ) -> None:
        self._on_answer = on_answer
        self._fetcher = fetcher
        self.move(url)

    def move(self, url: str) -> None:
        """Make further calls at another address."""
        self._url = url.rstrip("/")

    async def call(self, step: str, method: str, path: str, **options: Any) -> bytes:
        """Make one call and return its body; see :meth:`fetch`."""
        return (await self.fetch(step, method, path, **options)).body

    async def fetch(
        self,
        step: str,
        method: str,
        path: str,
        *,
        timeout: timedelta = CALL_TIMEOUT,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        data: bytes = b"",
    ) -> Fetched:
        """Make one call and return its answer; empty for an object that is not there.

        Raises:
            PlatformError: It failed.
        """
        try:
            fetched = await self._fetcher.fetch(
                method,
                self._url + path,
                timeout=timeout,
                params=params,
                headers=headers,
                data=data,
            )
        except FetchError as error:
            raise UnavailableError(str(error), step=step, peer=self._url) from error
        self._on_answer(fetched)
        is_missing = fetched.status == 404 and step == "get"
        if is_missing:
            return attrs.evolve(fetched, body=b"")
        self._check(step, fetched.status)
        return fetched

    def decode(self, step: str, body: bytes, kind: type[T]) -> T:
        """Read an answer's JSON.

        Raises:
            UnavailableError: It is not what was asked for.
        """
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise UnavailableError(str(error), step=step, peer=self._url) from error

    def _check(self, step: str, status: int) -> None:
        if status == 200:
            return
        kind = {409: ConflictError, 410: TooOldError, 429: ThrottledError}.get(
            status, UnavailableError
        )
        raise kind(f"status {status}", step=step, peer=self._url)
