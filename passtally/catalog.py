"""This host's view of the configuration: it only ever moves forward."""

import asyncio
import random
from datetime import timedelta

import attrs
import msgspec

from passtally.decision import log_event
from passtally.objects import Endpoint, Service, Workspace, decode_object
from passtally.platform import (
    REMOVED,
    Listing,
    Platform,
    PlatformError,
    StoredObject,
    TooOldError,
)

CONFIG_PREFIX = "config/"
RELIST_JITTER = timedelta(seconds=2)
FIRST_RETRY = timedelta(milliseconds=100)
LAST_RETRY = timedelta(seconds=2)

_KINDS = {
    "services": Service,
    "endpoints": Endpoint,
    "workspaces": Workspace,
}


@attrs.define(kw_only=True)
class Catalog:
    """The services, endpoints and workspaces in force on this host.

    Attributes:
        version: The store-wide version of the newest change taken in.
        services_by_id: The services.
        endpoints_by_id: The endpoints.
        workspaces_by_id: The workspaces.
    """

    version: int = 0
    services_by_id: dict[str, Service] = attrs.field(factory=dict)
    endpoints_by_id: dict[str, Endpoint] = attrs.field(factory=dict)
    workspaces_by_id: dict[str, Workspace] = attrs.field(factory=dict)
    _workspaces_by_token: dict[str, Workspace] = attrs.field(factory=dict)
    _versions_by_key: dict[str, int] = attrs.field(factory=dict)

    def replace(self, listing: Listing) -> bool:
        """Take in a whole listing.

        Returns:
            Whether it was taken: an older one than is in force is not.
        """
        if listing.version < self.version:
            return False
        listed = {stored.key for stored in listing.objects}
        for key in [key for key in self._versions_by_key if key not in listed]:
            removed = msgspec.Raw(REMOVED)
            self._apply(StoredObject(key=key, version=listing.version, value=removed))
        for stored in listing.objects:
            self._apply(stored)
        self.version = listing.version
        return True

    def advance(self, changes: Listing) -> None:
        """Take in changes from a watch. Late ones change nothing."""
        for stored in changes.objects:
            self._apply(stored)
        self.version = max(self.version, changes.version)

    def endpoints_of(self, service_id: str) -> list[Endpoint]:
        """Return the endpoints of one service."""
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service_id
        ]

    def find_workspace(self, token_sha256: str) -> Workspace | None:
        """Return whose token has this digest, or None."""
        return self._workspaces_by_token.get(token_sha256)

    def _apply(self, stored: StoredObject) -> None:
        if stored.version <= self._versions_by_key.get(stored.key, 0):
            return
        self._versions_by_key[stored.key] = stored.version
        _, _, rest = stored.key.partition(CONFIG_PREFIX)
        kind, _, object_id = rest.partition("/")
        if kind not in _KINDS:
            return
        objects_by_id = getattr(self, f"{kind}_by_id")
        if stored.is_removed:
            objects_by_id.pop(object_id, None)
        else:
            self._store(objects_by_id, kind, object_id, stored.value)
        if kind == "workspaces":
            self._workspaces_by_token = {
                workspace.token_sha256: workspace
                for workspace in self.workspaces_by_id.values()
            }

    def _store(
        self,
        objects_by_id: dict[str, object],
        kind: str,
        object_id: str,
        value: msgspec.Raw,
    ) -> None:
        try:
            objects_by_id[object_id] = decode_object(bytes(value), _KINDS[kind])
        except ValueError as error:
            # Keeping the last good object serves callers better than none.
            log_event("config", "Ignored a broken object.", id=object_id, why=error)


class CatalogKeeper:
    """Keeps a catalog up to date from the platform, through its outages.

    Args:
        catalog: What to keep.
        platform: Where the objects are.
        rng: Where the jitter comes from.
    """

    def __init__(
        self, *, catalog: Catalog, platform: Platform, rng: random.Random
    ) -> None:
        self.catalog = catalog
        self.loaded = asyncio.Event()
        self._platform = platform
        self._rng = rng

    async def run(self) -> None:
        """List, then watch, for ever."""
        delay = FIRST_RETRY
        while True:
            try:
                await self._list()
                delay = FIRST_RETRY
                await self._watch()
            except TooOldError:
                log_event("config", "Watch too old, listing again.")
                await self._sleep(RELIST_JITTER)
            except PlatformError as error:
                log_event("config", "Platform out of reach.", why=error)
                await self._sleep(delay)
                delay = min(2 * delay, LAST_RETRY)

    async def _list(self) -> None:
        listing = await self._platform.list_objects(CONFIG_PREFIX)
        taken = self.catalog.replace(listing)
        log_event("config", "Listed.", version=listing.version, taken=taken)
        if taken:
            self.loaded.set()

    async def _watch(self) -> None:
        while True:
            changes = await self._platform.watch(
                CONFIG_PREFIX, after=self.catalog.version
            )
            if changes.objects:
                self.catalog.advance(changes)
                log_event("config", "Changed.", version=self.catalog.version)

    async def _sleep(self, longest: timedelta) -> None:
        await asyncio.sleep(self._rng.uniform(0.5, 1) * longest.total_seconds())
