"""The platform's object API: versions, conditional updates and watches.

All durable state and all agreement between hosts goes through this API. Its protocol
is described in docs/PLATFORM.md. Each error names the failed call and the platform's
URL.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import Any, Protocol, TypeVar

import attrs
import msgspec

from passtally.fetch import Fetched, Fetcher, FetchError
from passtally.json_decoding import NestingError, decode_json

CALL_TIMEOUT = timedelta(seconds=3)
WATCH_TIMEOUT = timedelta(seconds=20)
REMOVED = b"null"
#: The statuses of a call that was carried out.
SUCCESSES = (200, 201)

T = TypeVar("T")


class PlatformError(Exception):
    """Base class of the errors of calls to the platform.

    Args:
        message: Cause of the failure.
        step: The call that failed.
        peer: The platform's URL.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        super().__init__(f"{step} at {peer}: {message}")


class UnavailableError(PlatformError):
    """No usable answer came; a write may have taken effect nevertheless."""


class TooDeepError(UnavailableError):
    """The answer is nested too deep to be decoded; no other answer came."""


class ThrottledError(PlatformError):
    """The platform rejected the call over its rate limit, without running it."""


class ConflictError(PlatformError):
    """The object's version was not the expected one; nothing was written."""


class TooOldError(PlatformError):
    """The platform no longer keeps the changes that a watch asked for; list again."""


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object's state in the platform.

    Attributes:
        key: The object's path.
        version: The store-wide version of its last change.
        value: The object's JSON; ``null`` in a change that removed it.
        created_version: The store-wide version of its creation; None if not told.
    """

    key: str
    version: int
    value: msgspec.Raw
    created_version: int | None = None

    @property
    def is_removed(self) -> bool:
        """Whether the change removed the object."""
        return bytes(self.value) == REMOVED


@attrs.frozen(kw_only=True)
class Listing:
    """Objects, and the store-wide version at which they were read.

    Attributes:
        version: The store-wide version.
        objects: The objects; in the result of a watch, those that changed.
        keys: Keys of all existing objects, where ``objects`` may lack removals;
            else None.
    """

    version: int
    objects: tuple[StoredObject, ...]
    keys: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class HostEntry:
    """An entry of the platform's host list, which lags behind the hosts' state.

    Attributes:
        id: The host's id.
        failure_domain: The host's failure domain.
        state: ``live`` or ``leaving``.
    """

    id: str
    failure_domain: str
    state: str


class Platform(Protocol):
    """Calls to the platform's object API. Each may raise any PlatformError."""

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects whose keys start with a prefix."""

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None where there is none."""

    async def create(self, key: str, value: bytes) -> int:
        """Create an object that must not exist; return its version."""

    async def update(self, key: str, value: bytes, *, version: int) -> int:
        """Replace an object of exactly this version; return its new version."""

    async def delete(self, key: str, *, version: int) -> None:
        """Remove an object of exactly this version."""

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; return an empty listing on a timeout."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the platform's host list, which lags behind the hosts' state."""


class RelocatablePlatform(Platform, Protocol):
    """A platform client whose URL can be changed."""

    def set_url(self, url: str) -> None:
        """Send all further calls to another URL."""


class StoreLink:
    """Calls a store over HTTP and raises a PlatformError for each failure.

    Args:
        fetcher: The HTTP client.
        url: The store's base URL.
        on_answer: Called with each answer, including error statuses, before its
            status is checked.
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
        self.set_url(url)

    @property
    def url(self) -> str:
        """The store's base URL."""
        return self._url

    def set_url(self, url: str) -> None:
        """Send all further calls to another URL."""
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
        accepted: Collection[int] = SUCCESSES,
    ) -> Fetched:
        """Make one call and return its answer, if it has an accepted status.

        A ``get`` of an object that does not exist returns an empty body.

        Raises:
            PlatformError: The call failed.
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
        if fetched.status not in accepted:
            raise self._error(step, fetched.status)
        return fetched

    def decode(self, step: str, body: bytes, kind: type[T]) -> T:
        """Decode an answer's JSON body.

        Raises:
            TooDeepError: The body is nested too deep.
            UnavailableError: The body is not valid JSON of this type.
        """
        try:
            return decode_json(body, kind)
        except NestingError as error:
            raise TooDeepError(str(error), step=step, peer=self._url) from error
        except ValueError as error:
            raise UnavailableError(str(error), step=step, peer=self._url) from error

    def _error(self, step: str, status: int) -> PlatformError:
        kind = {409: ConflictError, 410: TooOldError, 429: ThrottledError}.get(
            status, UnavailableError
        )
        return kind(f"status {status}", step=step, peer=self._url)


def decode_stored(stored: StoredObject, kind: type[T]) -> T:
    """Decode the value of an object.

    Raises:
        UnavailableError: The value is not valid JSON of this type; it may be of another
            writer.
    """
    try:
        return decode_json(stored.value, kind)
    except ValueError as error:
        raise UnavailableError(str(error), step="decode", peer=stored.key) from error
