"""Configuration writes that resolve lost answers by reading the object back."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import TypeVar

import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.intent import (
    INTENTS_PREFIX,
    LEDGER_KEY,
    Intent,
    Ledger,
)
from passtally.object_store import (
    ConflictError,
    Platform,
    StoredObject,
    ThrottledError,
    UnavailableError,
    decode_stored,
)

T = TypeVar("T")

WRITE_RETRY_TIME = timedelta(seconds=5)
WRITE_RETRY_DELAY = timedelta(milliseconds=100)


class ConfigStore:
    """Reads and writes configuration, intents and the ledger.

    Args:
        platform: The platform that stores them.
        clock: The clock.
    """

    def __init__(self, *, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None if it does not exist; raises PlatformError."""
        return await self._platform.get(key)

    async def put(self, key: str, value: bytes, *, version: int | None) -> int:
        """Write an object and return its version once the platform accepted it.

        A write whose answer was lost is retried; on a conflict the object is read back,
        and if it holds this value, the write was accepted.

        Args:
            key: The object's key.
            value: The object's JSON.
            version: The expected current version; 0 if the object must not exist,
                None for any version.

        Raises:
            ConflictError: The object has another version.
            UnavailableError: The platform is unreachable; the write may or may not
                have taken effect.
        """
        deadline = self._clock.monotonic() + WRITE_RETRY_TIME
        is_retry = False
        while True:
            try:
                expected = await self._find_version(key) if version is None else version
                return await self._write(key, value, expected)
            except ConflictError:
                stored = await self._platform.get(key) if is_retry else None
                if stored is not None and bytes(stored.value) == value:
                    return stored.version
                if version is not None:
                    raise
            except (UnavailableError, ThrottledError):
                is_retry = True
                if self._clock.monotonic() >= deadline:
                    raise
            await self._clock.sleep(WRITE_RETRY_DELAY)

    async def remove(self, key: str, *, version: int | None) -> None:
        """Remove an object; a missing object is not an error.

        Raises:
            ConflictError: The object has another version.
            UnavailableError: The platform is unreachable; the object may or may not
                have been removed.
        """
        deadline = self._clock.monotonic() + WRITE_RETRY_TIME
        while True:
            try:
                stored = await self._platform.get(key)
                if stored is None:
                    return
                expected = stored.version if version is None else version
                await self._platform.delete(key, version=expected)
                return
            except ConflictError:
                if version is not None and await self._platform.get(key) is not None:
                    raise
            except (UnavailableError, ThrottledError):
                if self._clock.monotonic() >= deadline:
                    raise
            await self._clock.sleep(WRITE_RETRY_DELAY)

    async def versions(self) -> Mapping[str, int]:
        """Return the versions of all configuration objects by key."""
        listing = await self._platform.list_objects("config/")
        return {stored.key: stored.version for stored in listing.objects}

    async def list_intents(self) -> list[Intent]:
        """Return all intents; those that can't be decoded are logged and left out."""
        listing = await self._platform.list_objects(INTENTS_PREFIX)
        intents: list[Intent] = []
        for stored in listing.objects:
            try:
                intents.append(decode_stored(stored, Intent))
            except UnavailableError as error:
                log_event("intent", "Left out a broken intent.", why=error)
        return intents

    async def get_intent(self, intent_id: str) -> tuple[Intent, int] | None:
        """Return an intent and its version, or None where there is none.

        Raises:
            PlatformError: The platform did not answer, or the intent can't be decoded.
        """
        stored = await self._platform.get(INTENTS_PREFIX + intent_id)
        if stored is None:
            return None
        return decode_stored(stored, Intent), stored.version

    async def change_ledger(self, change: Callable[[Ledger], Ledger]) -> None:
        """Change the ledger, and retry as long as another host's write conflicts.

        Args:
            change: Returns the new ledger for the current one. If it raises or returns
                an equal ledger, nothing is written.
        """
        while True:
            stored = await self._platform.get(LEDGER_KEY)
            ledger = decode_stored(stored, Ledger) if stored else Ledger()
            changed = change(ledger)
            if changed == ledger:
                return
            value = msgspec.json.encode(changed)
            version = stored.version if stored else 0
            try:
                await self.put(LEDGER_KEY, value, version=version)
            except ConflictError:
                continue
            return

    async def _find_version(self, key: str) -> int:
        stored = await self._platform.get(key)
        return stored.version if stored else 0

    async def _write(self, key: str, value: bytes, version: int) -> int:
        if version == 0:
            return await self._platform.create(key, value)
        return await self._platform.update(key, value, version=version)
