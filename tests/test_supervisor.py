"""Endless tasks restart after a failure.

A task must also restart when an operation that it awaits is cancelled by others, and
must stop when it is cancelled itself.
"""

import asyncio

from passtally.supervisor import RESTART_PAUSE, keep_running
from standins.virtual import VirtualClock, run_virtually


class TestKeepRunning:
    def test_a_failed_task_is_restarted_after_a_pause(self):
        starts = []

        async def work() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise ValueError("broken answer")

        run_virtually(keep_running("work", work, clock=VirtualClock()))
        pause = RESTART_PAUSE.total_seconds()
        assert starts == [0, pause, 2 * pause]

    def test_a_task_whose_awaited_future_is_cancelled_is_restarted(self):
        starts = []

        async def work() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                answer = asyncio.get_running_loop().create_future()
                answer.cancel()
                await answer

        run_virtually(keep_running("work", work, clock=VirtualClock()))
        pause = RESTART_PAUSE.total_seconds()
        assert starts == [0, pause, 2 * pause]

    def test_a_cancelled_task_is_not_restarted(self):
        async def run():
            async def work() -> None:
                await asyncio.sleep(3600)

            task = asyncio.ensure_future(
                keep_running("work", work, clock=VirtualClock())
            )
            await asyncio.sleep(1)
            task.cancel()
            results = await asyncio.gather(task, return_exceptions=True)
            assert isinstance(results[0], asyncio.CancelledError)

        run_virtually(run())
