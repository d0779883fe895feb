"""At-most-once execution of calls with an idempotency key, across all hosts."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

import attrs
from multidict import CIMultiDict

from passtally.claim_log import Claim, ClaimVerdict
from passtally.claims import ClaimResult, Claims, new_claim
from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.messages import FetchResult, ResultFound
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.peers import PeerError, Peers
from passtally.plain import PlainCaller
from passtally.plain_call import PlainAnswer, PlainCall

#: Maximum time between claim and send. A holder that was paused for longer voids its
#: claim instead of sending. It must be far below the retention time of claims, as two
#: sends of one key are kept apart only by the retention time less this window.
SEND_WINDOW = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=1)
MAX_RESULTS = 1000
MAX_RESULT_BYTES = 64 * 1024
REPLAYED_HEADER = "Idempotency-Replayed"


@attrs.frozen(kw_only=True)
class _Result:
    body_digest: bytes
    answer: PlainAnswer


class AtMostOnceCaller:
    """Forwards calls, and claims the idempotency key of each call before the send.

    Calls that are repeatable or have no key are forwarded without a claim.

    Args:
        caller: The forwarder of calls.
        claims: The claims of all hosts.
        clock: The clock.
        peers: The links to other hosts, over which a claim's holder is asked for the
            answer to its call.
    """

    def __init__(
        self, *, caller: PlainCaller, claims: Claims, clock: Clock, peers: Peers
    ) -> None:
        self._caller = caller
        self._claims = claims
        self._clock = clock
        self._peers = peers
        peers.on(FetchResult, self._on_fetch_result)
        self._results_by_digest: OrderedDict[bytes, _Result] = OrderedDict()
        self._running: set[asyncio.Task[PlainAnswer]] = set()

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Forward a call; see :meth:`PlainCaller.call`.

        The call continues when its caller disconnects, so that the caller's retry can
        get the answer.

        Raises:
            RefusedError: The call was refused or lost; the outcome states whether it
                may have run.
        """
        task = asyncio.create_task(self._call(call))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _call(self, call: PlainCall) -> PlainAnswer:
        if call.repeatable or not call.key:
            return await self._caller.call(call)
        claim = new_claim(
            workspace=call.workspace,
            service=call.service.id,
            key=call.key,
            body=b"\0".join((call.method.encode(), call.path.encode(), call.body)),
            holder=self._peers.host_id,
        )
        known = self._results_by_digest.get(claim.digest)
        if known is not None:
            return _replay_answer(known, claim)
        claimed_at = self._clock.monotonic()
        result = await self._claims.claim(claim)
        self._log_claim(call, result)
        if result.verdict is ClaimVerdict.HELD:
            return await self._fetch(claim, result.holder)
        self._check(call, claim, result)
        return await self._send(call, claim, claimed_at)

    async def _fetch(self, claim: Claim, holder: str) -> PlainAnswer:
        """Return the answer that the holder of the claim has stored.

        Raises:
            RefusedError: The holder is unreachable or has no stored answer, or the key
                belongs to another request.
        """
        try:
            fetched = await self._peers.ask(holder, FetchResult(claim.digest))
        except PeerError as error:
            raise _key_in_use_error(holder) from error
        if not isinstance(fetched, ResultFound) or not fetched.status:
            raise _key_in_use_error(holder)
        answer = PlainAnswer(
            status=fetched.status,
            headers=CIMultiDict(fetched.headers),
            body=fetched.body,
            is_framed=fetched.is_framed,
        )
        return _replay_answer(
            _Result(body_digest=fetched.body_digest, answer=answer), claim
        )

    async def _on_fetch_result(self, message: FetchResult) -> ResultFound:
        known = self._results_by_digest.get(message.digest)
        if known is None:
            return ResultFound(status=0)
        headers = known.answer.headers
        return ResultFound(
            status=known.answer.status,
            headers=[(str(name), value) for name, value in headers.items()],
            body=known.answer.body,
            body_digest=known.body_digest,
            is_framed=known.answer.is_framed,
        )

    def _check(self, call: PlainCall, claim: Claim, result: ClaimResult) -> None:
        """Check that the call may be sent under its claim.

        Raises:
            RefusedError: The key belongs to another request, or could not be claimed
                and the service doesn't deduplicate calls.
        """
        if result.verdict is ClaimVerdict.GRANTED:
            return
        if result.verdict is ClaimVerdict.MISMATCH:
            raise _key_reused_error(result.holder)
        if not call.service.deduplicates:
            self._claims.void(claim)
            raise _claims_unavailable_error()

    async def _send(
        self, call: PlainCall, claim: Claim, claimed_at: timedelta
    ) -> PlainAnswer:
        def check_window() -> None:
            if self._clock.monotonic() - claimed_at > SEND_WINDOW:
                raise _claim_lapsed_error()

        try:
            answer = await self._caller.call(call, before_send=check_window)
        except RefusedError as error:
            if error.failure.outcome is Outcome.NOT_RUN:
                self._claims.void(claim)
            raise
        self._store_result(claim, answer)
        return answer

    def _store_result(self, claim: Claim, answer: PlainAnswer) -> None:
        if len(answer.body) > MAX_RESULT_BYTES:
            return
        result = _Result(body_digest=claim.body_digest, answer=answer)
        self._results_by_digest[claim.digest] = result
        if len(self._results_by_digest) > MAX_RESULTS:
            self._results_by_digest.popitem(last=False)

    def _log_claim(self, call: PlainCall, result: ClaimResult) -> None:
        log_decision(
            "admit",
            request=call.id,
            choice=result.verdict,
            reason="claim of the idempotency key",
            holder=result.holder,
            service=call.service.id,
        )


def _replay_answer(known: _Result, claim: Claim) -> PlainAnswer:
    if known.body_digest != claim.body_digest:
        raise _key_reused_error("")
    headers = known.answer.headers.copy()
    headers[REPLAYED_HEADER] = "true"
    return attrs.evolve(known.answer, headers=headers)


def _key_in_use_error(holder: str) -> RefusedError:
    return refuse(
        Code.KEY_IN_USE,
        "A request with this key was sent before, and its result is not available.",
        status=409,
        step="claim",
        peer=holder,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )


def _key_reused_error(holder: str) -> RefusedError:
    return refuse(
        Code.KEY_REUSED,
        "This key was used for another request.",
        status=422,
        step="claim",
        peer=holder,
    )


def _claims_unavailable_error() -> RefusedError:
    return refuse(
        Code.CLAIMS_UNAVAILABLE,
        "The key can't be claimed now, so the call was not sent.",
        status=503,
        step="claim",
        peer="platform",
        retry_after=RETRY_AFTER,
    )


def _claim_lapsed_error() -> RefusedError:
    return refuse(
        Code.CLAIM_LAPSED,
        "This host was paused after it claimed the key, so the call was not sent.",
        status=503,
        step="send",
        retry_after=RETRY_AFTER,
    )
