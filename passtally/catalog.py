"""This host's view of the configuration, which never returns to an older version."""

import asyncio
import random
from datetime import timedelta

import attrs
import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.follower import Follower
from passtally.intent import LEDGER_KEY, Ledger
from passtally.json_decoding import decode_json
from passtally.membership import Gossip
from passtally.messages import ConfigChanges, FetchConfig
from passtally.mirror import ObjectMirror
from passtally.object_store import (
    Listing,
    Platform,
    StoredObject,
)
from passtally.objects import (
    CONFIG_KINDS,
    Workspace,
)
from passtally.peers import PeerError, Peers
from passtally.service_index import ServiceIndex

CONFIG_PREFIX = "config/"
RELIST_JITTER = timedelta(seconds=2)
#: Interval per host over which listings are spread: 330 hosts list within 6.6 s, 50 a
#: second.
RELIST_PER_HOST = timedelta(milliseconds=20)
PEER_INTERVAL = timedelta(seconds=1)
FETCH_TIMEOUT = timedelta(seconds=5)


@attrs.define(kw_only=True)
class Catalog(ServiceIndex):
    """The services, endpoints and workspaces in force on this host.

    Attributes:
        mirror: The stored objects, with their versions in the platform.
        workspaces_by_id: The workspaces.
        ledger: The intents in progress.
    """

    mirror: ObjectMirror = attrs.field(factory=ObjectMirror)
    workspaces_by_id: dict[str, Workspace] = attrs.field(factory=dict)
    ledger: Ledger = attrs.field(factory=Ledger)
    _workspaces_by_token: dict[str, Workspace] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """The store-wide version up to which changes have been applied."""
        return self.mirror.version

    @property
    def config_version(self) -> int:
        """The highest version of any applied object."""
        return self.mirror.newest

    def replace(self, listing: Listing) -> bool:
        """Apply a complete listing.

        Returns:
            Whether it was applied: a listing older than this catalog is not.
        """
        changed = self.mirror.replace(listing)
        for stored in changed or ():
            self._apply(stored)
        return changed is not None

    def advance(self, changes: Listing) -> None:
        """Apply changes; those older than an applied one have no effect."""
        for stored in self.mirror.advance(changes):
            self._apply(stored)

    def changes_after(self, version: int) -> Listing:
        """Return the current state of all objects that changed after a version."""
        return self.mirror.changes_after(version)

    def current_versions(self) -> dict[str, int]:
        """Return the versions of the objects that exist."""
        return self.mirror.current_versions()

    def find_workspace(self, token_sha256: str) -> Workspace | None:
        """Return the workspace whose token has this SHA-256 digest, or None."""
        return self._workspaces_by_token.get(token_sha256)

    def _apply(self, stored: StoredObject) -> None:
        if stored.key == LEDGER_KEY:
            self._store_ledger(stored)
        _, _, rest = stored.key.partition(CONFIG_PREFIX)
        kind, _, object_id = rest.partition("/")
        if kind not in CONFIG_KINDS:
            return
        objects_by_id = getattr(self, f"{kind}_by_id")
        before = objects_by_id.get(object_id)
        if stored.is_removed:
            objects_by_id.pop(object_id, None)
        else:
            self._store(objects_by_id, kind, object_id, stored.value)
        if kind == "workspaces":
            self._index_token(before, objects_by_id.get(object_id))
        if kind == "endpoints":
            self._index_service(before, objects_by_id.get(object_id))

    def _store_ledger(self, stored: StoredObject) -> None:
        try:
            self.ledger = (
                Ledger() if stored.is_removed else decode_json(stored.value, Ledger)
            )
        except ValueError as error:
            log_event("config", "Ignored a broken ledger.", why=error)

    def _store(
        self,
        objects_by_id: dict[str, object],
        kind: str,
        object_id: str,
        value: msgspec.Raw,
    ) -> None:
        try:
            objects_by_id[object_id] = decode_json(value, CONFIG_KINDS[kind])
        except ValueError as error:
            # The last valid object stays in force, so that callers are still served.
            log_event("config", "Ignored a broken object.", id=object_id, why=error)

    def _index_token(self, before: Workspace | None, after: Workspace | None) -> None:
        if before is not None:
            known = self._workspaces_by_token.get(before.token_sha256)
            if known is not None and known.id == before.id:
                del self._workspaces_by_token[before.token_sha256]
        if after is not None:
            self._workspaces_by_token[after.token_sha256] = after


class CatalogKeeper:
    """Keeps a catalog up to date from the platform and, during its outages, from peers.

    Args:
        catalog: The catalog to update.
        platform: The platform that stores the objects.
        peers: The links to hosts that may have newer objects.
        gossip: The gossip that reports each peer's configuration version.
        clock: The clock.
        rng: Random generator for the jitter.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        platform: Platform,
        peers: Peers,
        gossip: Gossip,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.catalog = catalog
        self.loaded = asyncio.Event()
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._follower = Follower(
            prefix=CONFIG_PREFIX,
            platform=platform,
            clock=clock,
            rng=rng,
            replace=self._replace,
            advance=self._advance,
            relist_pause=self._relist_pause,
        )
        peers.on(FetchConfig, self._answer)

    @property
    def is_watching(self) -> bool:
        """Whether the watch on the platform is established."""
        return self._follower.is_watching

    async def run(self) -> None:
        """List the objects, then watch them, until cancelled."""
        await self._follower.run()

    async def follow_peers(self) -> None:
        """Fetch newer configuration from peers until cancelled.

        A host that cannot reach the platform, or that starts during an outage, receives
        accepted changes this way. A host whose watch is established does not need it.
        """
        while True:
            await self._clock.sleep(PEER_INTERVAL)
            host_id, version = self._gossip.newest_config()
            if version > self.catalog.config_version:
                await self._fetch(host_id)
            self._gossip.config_version = self.catalog.config_version

    async def _fetch(self, host_id: str) -> None:
        message = FetchConfig(after=self.catalog.config_version)
        try:
            reply = await self._peers.ask(host_id, message, timeout=FETCH_TIMEOUT)
        except PeerError as error:
            log_event("config", "Peer did not answer.", peer=host_id, why=error)
            return
        if not isinstance(reply, ConfigChanges):
            return
        try:
            changes = decode_json(reply.listing, Listing)
        except ValueError as error:
            log_event("config", "Ignored a broken answer.", peer=host_id, why=error)
            return
        self.catalog.advance(changes)
        self._record_update("Learned from a peer.", peer=host_id)

    async def _answer(self, message: FetchConfig) -> ConfigChanges:
        changes = self.catalog.changes_after(message.after)
        return ConfigChanges(listing=msgspec.json.encode(changes))

    def _replace(self, listing: Listing) -> None:
        if self.catalog.replace(listing):
            self._record_update("Listed.")

    def _advance(self, changes: Listing) -> None:
        self.catalog.advance(changes)
        if changes.objects:
            self._record_update("Changed.")

    def _relist_pause(self) -> timedelta:
        """Return the time over which hosts spread listings; it grows with the hosts."""
        return max(RELIST_JITTER, (len(self._peers.ids) + 1) * RELIST_PER_HOST)

    def _record_update(self, sentence: str, **fields: object) -> None:
        self.loaded.set()
        self._gossip.config_version = self.catalog.config_version
        log_event("config", sentence, version=self.catalog.config_version, **fields)
