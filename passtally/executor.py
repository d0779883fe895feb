"""Executes the steps of confirmed intents on the host that holds the lease."""

import asyncio
import hashlib
from datetime import timedelta

import attrs

from passtally.catalog import Catalog
from passtally.clock import Clock
from passtally.config_store import ConfigStore
from passtally.decision import log_decision, log_event
from passtally.fleet import Fleet
from passtally.intent import Intent, IntentState, Step, StepKind, StepState
from passtally.lease import LEASE_DURATION, RENEW_INTERVAL, Lease
from passtally.object_store import ConflictError, PlatformError, StoredObject
from passtally.objects import Endpoint, ServiceKind
from passtally.orders import FencedError, OrderError, Orders

LEASE_KEY = "leases/executor"
STEP_POLL_INTERVAL = timedelta(milliseconds=500)
#: Minimum time without requests before a draining endpoint counts as idle. All hosts
#: receive the drain within 5 s, even if their watch fails, and send no new requests.
MIN_IDLE_TIME = timedelta(seconds=5)
#: Time for which an order or report that fails is retried before its step fails.
ORDER_RETRY_TIME = timedelta(seconds=60)
#: Wait after a plain service's endpoint starts to drain. Then it is idle, as each
#: plain call has ended or reached its time limit.
PLAIN_DRAIN_TIME = timedelta(seconds=35)
#: Wait after an order to an endpoint that does not check fencing numbers. A late order
#: of a former lease holder arrives within it and is noticed when the role is verified.
LATE_ORDER_WAIT = 2 * LEASE_DURATION
MAX_ROLE_ATTEMPTS = 3
MAX_RANK = 30


class StepFailedError(Exception):
    """Raised when a step cannot be done safely; its intent fails at this step."""


class LeaseLostError(Exception):
    """Raised when this host lost its lease, or the intent was cancelled."""


class Executor:
    """Executes the intents in the ledger while this host holds the lease.

    Args:
        host_id: The local host's name.
        host_ids: The names of all hosts that may execute intents.
        store: The store of intents and configuration objects.
        catalog: The active configuration, including the ledger.
        fleet: The endpoints and their engines, for probes.
        orders: The client that sends orders to endpoints.
        lease: The lease that lets one host at a time execute intents.
        clock: The clock for deadlines and waits.
    """

    def __init__(
        self,
        *,
        host_id: str,
        host_ids: list[str],
        store: ConfigStore,
        catalog: Catalog,
        fleet: Fleet,
        orders: Orders,
        lease: Lease,
        clock: Clock,
    ) -> None:
        self._host_id = host_id
        self._host_ids = host_ids
        self._store = store
        self._catalog = catalog
        self._fleet = fleet
        self._orders = orders
        self._lease = lease
        self._clock = clock
        self._tasks_by_intent: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Poll the ledger forever; hold the lease only while it has entries."""
        while True:
            if self._catalog.ledger.entries:
                await self._start_tasks()
            else:
                await self._lease.release()
            pause = RENEW_INTERVAL if self._lease.is_held else self._poll_interval()
            await self._clock.sleep(pause)

    async def _start_tasks(self) -> None:
        if not await self._lease.try_acquire():
            return
        for entry in self._catalog.ledger.entries:
            running = self._tasks_by_intent.get(entry.intent)
            if running is None or running.done():
                task = asyncio.create_task(self._execute(entry.intent))
                self._tasks_by_intent[entry.intent] = task

    def _poll_interval(self) -> timedelta:
        """Return the interval until the next poll while the lease is not held.

        It grows with the host's rank, so that few hosts compete for the lease at once.
        """

        def digest(host: str) -> bytes:
            return hashlib.blake2b(host.encode(), digest_size=8).digest()

        rank = sorted(self._host_ids, key=digest).index(self._host_id)
        return RENEW_INTERVAL * (1 + min(rank, MAX_RANK))

    async def _execute(self, intent_id: str) -> None:
        try:
            while await self._advance(intent_id):
                continue
        except LeaseLostError:
            log_event("intent", "Lease lost, stopping.", intent=intent_id)
        except (PlatformError, FencedError) as error:
            log_event(
                "intent", "Interrupted, will resume.", intent=intent_id, why=error
            )

    async def _advance(self, intent_id: str) -> bool:
        """Run the next step of an intent; return whether more steps may follow."""
        self._check_lease()
        found = await self._store.get_intent(intent_id)
        is_open = found is not None and found[0].state in (
            IntentState.PLANNED,
            IntentState.CONFIRMED,
        )
        if not is_open:
            await self._store.change_ledger(lambda ledger: ledger.remove(intent_id))
            return False
        intent, version = found
        index = intent.next_step()
        if index is None:
            await self._end(intent, version, "finish", "")
            return False
        try:
            await self._run_step(intent, version, index)
        except StepFailedError as error:
            await self._fail(intent_id, str(error))
            return False
        except ConflictError:
            log_event(
                "intent", "Changed by another writer, reading again.", intent=intent_id
            )
        return True

    async def _run_step(self, intent: Intent, version: int, index: int) -> None:
        """Record a step as started, perform it, then record it as done."""
        if intent.state is IntentState.PLANNED:
            # The intent is in the ledger, so it was confirmed: the confirming host died
            # after changing the ledger and before storing the new state.
            intent = intent.after("confirm")
        begun = attrs.evolve(
            intent.with_step(index, StepState.STARTED),
            holder=self._host_id,
            fence=self._lease.fence,
        )
        version = await self._store.put(begun.key, begun.to_json(), version=version)
        step = begun.plan.steps[index]
        log_decision(
            "place",
            request=intent.id,
            choice=f"{step.kind} {step.endpoint or step.key}",
            reason=step.why,
            step=index + 1,
            fence=self._lease.fence,
        )
        await self._perform(begun, index, step)
        self._check_lease()
        done = begun.with_step(index, StepState.DONE)
        await self._store.put(done.key, done.to_json(), version=version)

    async def _perform(self, intent: Intent, index: int, step: Step) -> None:
        if step.kind is StepKind.PUT:
            await self._put(intent, index, step)
        elif step.kind is StepKind.REMOVE:
            await self._remove(intent, index, step)
        elif step.kind is StepKind.WAIT_IDLE:
            await self._wait_idle(intent, step)
        elif step.kind is StepKind.VERIFY:
            await self._wait_loaded(intent, step)
        elif step.kind is StepKind.LOAD:
            await self._order(intent, step, "load")
        else:
            await self._set_role(intent, step)

    async def _put(self, intent: Intent, index: int, step: Step) -> None:
        value = step.value.encode()
        stored = await self._store.get(step.key)
        if stored is not None and bytes(stored.value) == value:
            return
        version = self._expected_version(intent, index, step, stored)
        try:
            await self._store.put(step.key, value, version=version)
        except ConflictError as error:
            raise _changed(step) from error

    async def _remove(self, intent: Intent, index: int, step: Step) -> None:
        stored = await self._store.get(step.key)
        if stored is None:
            return
        version = self._expected_version(intent, index, step, stored)
        try:
            await self._store.remove(step.key, version=version)
        except ConflictError as error:
            raise _changed(step) from error

    def _expected_version(
        self, intent: Intent, index: int, step: Step, stored: StoredObject | None
    ) -> int:
        """Return the stored version, checked against the plan, for a conditional write.

        It must be the version that the plan was made from, or hold a value that an
        earlier step of this plan wrote.

        Raises:
            StepFailedError: Another writer changed the object.
        """
        if stored is None:
            if intent.plan.versions_by_key.get(step.key, 0):
                raise _changed(step)
            return 0
        earlier = {
            done.value.encode()
            for done in intent.plan.steps[:index]
            if done.key == step.key
        }
        planned = intent.plan.versions_by_key.get(step.key, 0)
        if stored.version != planned and bytes(stored.value) not in earlier:
            raise _changed(step)
        return stored.version

    async def _order(self, intent: Intent, step: Step, kind: str) -> None:
        deadline = self._clock.monotonic() + ORDER_RETRY_TIME
        while True:
            try:
                await self._orders.send_order(
                    self._find_endpoint(step),
                    kind=kind,
                    value=step.value,
                    fence=self._lease.fence,
                    before_send=self._check_lease,
                )
                return
            except FencedError:
                raise
            except OrderError as error:
                await self._wait_or_fail(intent, deadline, str(error))

    async def _wait_loaded(self, intent: Intent, step: Step) -> None:
        deadline = self._clock.monotonic() + ORDER_RETRY_TIME
        deadline += 3 * timedelta(seconds=step.seconds)
        while True:
            try:
                report = await self._orders.report(self._find_endpoint(step))
                if step.value in report.loaded:
                    return
                reason = f"{step.endpoint} has not loaded {step.value}"
            except OrderError as error:
                reason = str(error)
            await self._wait_or_fail(intent, deadline, reason)

    async def _set_role(self, intent: Intent, step: Step) -> None:
        """Order a role and verify it.

        An endpoint that does not check fencing numbers may still apply a late order of
        a former lease holder. Its role is therefore verified only after such an order
        would have arrived, and ordered again if it differs.
        """
        for _ in range(MAX_ROLE_ATTEMPTS):
            await self._order(intent, step, "role")
            if not self._find_endpoint(step).checks_fencing:
                await self._wait(intent, LATE_ORDER_WAIT)
            role = await self._read_role(step)
            if role == step.value:
                return
            log_event(
                "intent",
                "Another order changed the role.",
                peer=step.endpoint,
                role=role,
            )
        raise StepFailedError(
            f"{step.endpoint} reports the role {role} after repeated orders"
        )

    async def _read_role(self, step: Step) -> str:
        try:
            report = await self._orders.report(self._find_endpoint(step))
        except OrderError as error:
            raise StepFailedError(str(error)) from error
        return report.role

    async def _wait_idle(self, intent: Intent, step: Step) -> None:
        """Wait until an endpoint is idle, without a limit on its last request."""
        endpoint = self._catalog.endpoints_by_id.get(step.endpoint)
        if endpoint is None:
            return
        service = self._catalog.services_by_id.get(endpoint.service)
        if service is not None and service.kind is ServiceKind.PLAIN:
            await self._wait(intent, PLAIN_DRAIN_TIME)
            return
        idle_since: timedelta | None = None
        while True:
            now = self._clock.monotonic()
            if await self._is_busy(endpoint):
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= MIN_IDLE_TIME:
                return
            await self._wait(intent, STEP_POLL_INTERVAL)

    async def _is_busy(self, endpoint: Endpoint) -> bool:
        live = self._fleet.find(endpoint.id)
        report = await live.engine.probe() if live is not None else None
        # An endpoint that answers no probe for MIN_IDLE_TIME has no request left.
        return report is not None and report.running + report.queued > 0

    async def _wait_or_fail(
        self, intent: Intent, deadline: timedelta, reason: str
    ) -> None:
        if self._clock.monotonic() >= deadline:
            raise StepFailedError(reason)
        await self._wait(intent, STEP_POLL_INTERVAL)

    async def _wait(self, intent: Intent, duration: timedelta) -> None:
        """Wait within a step.

        Raises:
            LeaseLostError: The lease was lost or the intent was cancelled.
        """
        until = self._clock.monotonic() + duration
        while self._clock.monotonic() < until:
            self._check_lease()
            if not self._catalog.ledger.has(intent.id):
                raise LeaseLostError
            await self._clock.sleep(min(duration, STEP_POLL_INTERVAL))

    def _find_endpoint(self, step: Step) -> Endpoint:
        endpoint = self._catalog.endpoints_by_id.get(step.endpoint)
        if endpoint is None:
            raise StepFailedError(f"{step.endpoint} was removed from the configuration")
        return endpoint

    def _check_lease(self) -> None:
        if not self._lease.is_held:
            raise LeaseLostError

    async def _fail(self, intent_id: str, reason: str) -> None:
        found = await self._store.get_intent(intent_id)
        if found is not None:
            await self._end(*found, "fail", reason)

    async def _end(self, intent: Intent, version: int, event: str, reason: str) -> None:
        ended = intent.after(event, reason=reason)
        await self._store.put(ended.key, ended.to_json(), version=version)
        await self._store.change_ledger(lambda ledger: ledger.remove(intent.id))
        log_event("intent", f"Ended as {ended.state}.", intent=intent.id, why=reason)


def _changed(step: Step) -> StepFailedError:
    return StepFailedError(f"{step.key} was changed since the plan was made")
