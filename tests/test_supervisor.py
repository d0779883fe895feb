"""Endless tasks go on after a failure."""

import asyncio

from passtally.supervisor import RESTART_PAUSE, keep_running
from standins.virtual import VirtualClock, run_virtually


class TestKeepRunning:
    def test_work_that_fails_is_started_again_after_a_pause(self):
        starts = []

        async def work() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise ValueError("broken answer")

        run_virtually(keep_running("work", work, clock=VirtualClock()))
        pause = RESTART_PAUSE.total_seconds()
        assert starts == [0, pause, 2 * pause]

    def test_work_whose_answer_is_cancelled_is_started_again(self):
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

    def test_a_cancelled_one_stays_cancelled(self):
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
