"""Store writes and latency of claims in virtual time, up to the target rate."""

import asyncio
import random
from datetime import timedelta

import attrs

from bench.report import Figure, percentile
from passtally.claim_log import ClaimVerdict
from passtally.claims import ShardWriter, new_claim
from passtally.clock import Clock
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform

SHARDS = 8
RATES = (10, 50, 200, 1000, 2700, 5400)
SECONDS = 10
PLATFORM_LATENCY = timedelta(milliseconds=5)
RETENTION = timedelta(hours=1)


class SlowPlatform(FakePlatform):
    """In-memory object API with the platform's typical latency per call."""

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    async def _enter(self, call: str) -> str:
        await self._clock.sleep(PLATFORM_LATENCY)
        return await super()._enter(call)


@attrs.define
class _Run:
    latencies: list[float] = attrs.field(factory=list)
    writes: int = 0
    max_segment_bytes: int = 0


def run() -> list[Figure]:
    """Measure claims at each request rate."""
    figures = []
    for rate in RATES:
        result = run_virtually(_run_rate(rate))
        writes = result.writes / SECONDS

        def figure(part: str, value: float, unit: str, rate: int = rate) -> Figure:
            return Figure(name=f"claims.at_{rate}.{part}", value=value, unit=unit)

        figures += [
            figure("writes", writes, "1/s"),
            figure("writes_a_claim", writes / rate, "1"),
            figure("latency_p50", percentile(result.latencies, 0.5) * 1000, "ms"),
            figure("latency_p95", percentile(result.latencies, 0.95) * 1000, "ms"),
            figure("segment_max", result.max_segment_bytes, "bytes"),
        ]
    return figures


async def _run_rate(rate: int) -> _Run:
    clock = VirtualClock()
    platform = SlowPlatform(clock=clock)
    writers = [
        ShardWriter(shard=number, platform=platform, clock=clock, retention=RETENTION)
        for number in range(SHARDS)
    ]
    result = _Run()
    rng = random.Random(rate)
    tasks = []
    for number in range(rate * SECONDS):
        await asyncio.sleep(rng.expovariate(rate))
        tasks.append(asyncio.ensure_future(_claim(writers, number, result)))
    await asyncio.gather(*tasks)
    result.writes = sum(writer.write_count for writer in writers)
    values = platform.objects_by_key.values()
    result.max_segment_bytes = max(len(bytes(stored.value)) for stored in values)
    return result


async def _claim(writers: list[ShardWriter], number: int, result: _Run) -> None:
    claim = new_claim(
        workspace="w", service="s", key=str(number), body=b"", holder="entry-17"
    )
    loop = asyncio.get_running_loop()
    started = loop.time()
    shard = int.from_bytes(claim.digest[:4]) % len(writers)
    answer = await writers[shard].claim(claim)
    assert answer.verdict is ClaimVerdict.GRANTED
    result.latencies.append(loop.time() - started)
