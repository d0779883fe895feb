"""Runs calls that may not be repeated at most once, across hosts and retries."""

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
from passtally.plain import PlainAnswer, PlainCall, PlainCaller

#: A holder that slept longer than this between claim and send gives the claim
#: back. It must be far below the retention of claims.
SEND_WINDOW = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=1)
RESULTS_KEPT = 1000
MAX_RESULT_BYTES = 64 * 1024
REPLAYED_HEADER = "Idempotency-Replayed"


@attrs.frozen(kw_only=True)
class _Result:
    body_digest: bytes
    answer: PlainAnswer


class AtMostOnceCaller:
    """Claims a call's key before it is sent.

    Args:
        caller: Passes calls on.
        claims: Claims keys.
        clock: The clock.
        peers: The links; a holder is asked how its call ended.
    """

    def __init__(
        self, *, caller: PlainCaller, claims: Claims, clock: Clock, peers: Peers
    ) -> None:
        self._caller = caller
        self._claims = claims
        self._clock = clock
        self._peers = peers
        peers.on(FetchResult, self._answer_result)
        self._results_by_digest: OrderedDict[bytes, _Result] = OrderedDict()
        self._running: set[asyncio.Task[PlainAnswer]] = set()

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Pass one call on; see :meth:`PlainCaller.call`.

        It goes on to its end also when its caller leaves, so that a retry can
        be told how it ended.

        Raises:
            RefusedError: It was refused or lost; its outcome tells which.
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
            return _replay(known, claim)
        claimed_at = self._clock.monotonic()
        result = await self._claims.claim(claim)
        self._log(call, result)
        if result.verdict is ClaimVerdict.HELD:
            return await self._fetch(claim, result.holder)
        self._check(call, claim, result)
        return await self._send(call, claim, claimed_at)

    async def _fetch(self, claim: Claim, holder: str) -> PlainAnswer:
        """Return the answer that another host has for the key.

        Raises:
            RefusedError: It has none, or none yet, or is out of reach.
        """
        try:
            found = await self._peers.ask(holder, FetchResult(claim.digest))
        except PeerError as error:
            raise _key_in_use(holder) from error
        if not isinstance(found, ResultFound) or not found.status:
            raise _key_in_use(holder)
        answer = PlainAnswer(
            status=found.status, headers=CIMultiDict(found.headers), body=found.body
        )
        return _replay(_Result(body_digest=found.body_digest, answer=answer), claim)

    async def _answer_result(self, message: FetchResult) -> ResultFound:
        known = self._results_by_digest.get(message.digest)
        if known is None:
            return ResultFound(status=0)
        headers = known.answer.headers
        return ResultFound(
            status=known.answer.status,
            headers=[(str(name), value) for name, value in headers.items()],
            body=known.answer.body,
            body_digest=known.body_digest,
        )

    def _check(self, call: PlainCall, claim: Claim, result: ClaimResult) -> None:
        """Raise unless the call may be sent under its claim."""
        if result.verdict is ClaimVerdict.GRANTED:
            return
        if result.verdict is ClaimVerdict.MISMATCH:
            raise _key_reused(result.holder)
        if not call.service.deduplicates:
            self._claims.void(claim)
            raise _claims_unavailable()

    async def _send(
        self, call: PlainCall, claim: Claim, claimed_at: timedelta
    ) -> PlainAnswer:
        def check_window() -> None:
            if self._clock.monotonic() - claimed_at > SEND_WINDOW:
                raise _claim_lapsed()

        try:
            answer = await self._caller.call(call, before_send=check_window)
        except RefusedError as error:
            if error.failure.outcome is Outcome.NOT_RUN:
                self._claims.void(claim)
            raise
        self._keep(claim, answer)
        return answer

    def _keep(self, claim: Claim, answer: PlainAnswer) -> None:
        if len(answer.body) > MAX_RESULT_BYTES:
            return
        result = _Result(body_digest=claim.body_digest, answer=answer)
        self._results_by_digest[claim.digest] = result
        if len(self._results_by_digest) > RESULTS_KEPT:
            self._results_by_digest.popitem(last=False)

    def _log(self, call: PlainCall, result: ClaimResult) -> None:
        log_decision(
            "admit",
            request=call.id,
            choice=result.verdict,
            reason="claim of the idempotency key",
            holder=result.holder,
            service=call.service.id,
        )


def _replay(known: _Result, claim: Claim) -> PlainAnswer:
    if known.body_digest != claim.body_digest:
        raise _key_reused("")
    headers = known.answer.headers.copy()
    headers[REPLAYED_HEADER] = "true"
    return attrs.evolve(known.answer, headers=headers)


def _key_in_use(holder: str) -> RefusedError:
    return refuse(
        Code.KEY_IN_USE,
        "A request with this key was sent before; how it ended is not known here.",
        status=409,
        step="claim",
        peer=holder,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )


def _key_reused(holder: str) -> RefusedError:
    return refuse(
        Code.KEY_REUSED,
        "This key was used for another request.",
        status=422,
        step="claim",
        peer=holder,
    )


def _claims_unavailable() -> RefusedError:
    return refuse(
        Code.CLAIMS_UNAVAILABLE,
        "The key can't be claimed now, so the call was not sent.",
        status=503,
        step="claim",
        peer="platform",
        retry_after=RETRY_AFTER,
    )


def _claim_lapsed() -> RefusedError:
    return refuse(
        Code.CLAIM_LAPSED,
        "This host slept after claiming the key, so the call was not sent.",
        status=503,
        step="send",
        retry_after=RETRY_AFTER,
    )
