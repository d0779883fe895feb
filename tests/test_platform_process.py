"""The host's process on the platform: start, reload, stop, invalid settings."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.host_process import connect, messages, running, start, wait_for


class TestProcess:
    def test_it_starts_reloads_and_stops(self, tmp_path: Path):
        async def main() -> None:
            async with running(tmp_path) as host:
                process, log = host.process, host.log
                await wait_for(log, "config: In force.")
                reader, writer = await connect(host.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b" 200 " in await reader.readline()
                writer.close()
                process.send_signal(signal.SIGHUP)
                await wait_for(log, "daemon: Settings read again.")
                host.path.write_text("zone=pilar\n")
                process.send_signal(signal.SIGHUP)
                await wait_for(log, "daemon: Kept the old settings.")
                process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(process.wait, 10)
                assert process.returncode == 0
                assert messages(log)[-1] == "daemon: Stopped."

        asyncio.run(main())

    def test_while_it_loads_callers_wait_and_a_reload_does_not_end_it(self, tmp_path):
        async def try_once(folder: Path) -> bool:
            """Return whether a connection came up before the host had loaded."""
            folder.mkdir()
            async with running(folder) as host:
                reader, writer = await connect(host.front)
                host.process.send_signal(signal.SIGHUP)
                was_loading = not messages(host.log)
                writer.write(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 20)
                writer.close()
                await wait_for(host.log, "config: In force.")
                assert host.process.poll() is None
                return was_loading

        async def main() -> None:
            # On a busy machine this test may connect too late; loading takes 0.3 s.
            for number in range(5):
                if await try_once(tmp_path / str(number)):
                    return
            pytest.fail("no connection came up while a host was loading")

        asyncio.run(main())

    def test_invalid_settings_are_reported_and_end_the_start(self, tmp_path: Path):
        path = tmp_path / "node.conf"
        path.write_text("zone=pilar\nlisten.front=here\n")
        process = start(path, tmp_path / "log")
        _, error = process.communicate(timeout=20)
        assert process.returncode == 2
        for name in ("node_name", "listen.front", "platform"):
            assert name in error.decode()
