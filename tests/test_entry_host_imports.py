"""The modules that an entry host on the platform imports."""

import subprocess
import sys

#: Modules that must not be imported, with what the host uses instead.
NOT_IMPORTED = {
    "sismic": "the charts' tables, made by chart_reader",
    "ruamel": "the charts' tables, made by chart_reader",
    "passtally.chart_reader": "the charts' tables, made by chart_reader",
    "statsd": "text_metrics",
    "passtally.statsd_metrics": "text_metrics",
    "passtally.status": "text_metrics",
    "passtally.catalog": "service_index",
    "passtally.intent": "nothing: operators' intents are the product's",
    "passtally.daemon": "front_host",
    "click": "platform.settings",
}


def loaded_modules() -> set[str]:
    """Return the modules of a new process that is ready to run an entry host."""
    program = "import sys, passtally.platform.process; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", program],
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return set(done.stdout.split())


class TestEntryHostImports:
    def test_unused_modules_are_not_imported(self):
        """Guards against slower starts: callers wait while a host starts.

        Some 200 hosts start some 400 times a day. These modules took 3 MB of each
        host's memory, and 10 of the about 180 ms of processor time of a start.
        """
        loaded = loaded_modules()
        assert "passtally.front_host" in loaded
        assert not {name: NOT_IMPORTED[name] for name in NOT_IMPORTED if name in loaded}
