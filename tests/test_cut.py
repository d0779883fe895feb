"""A failure domain is partitioned from the platform and its peers, and reconnects."""

import signal
import sys
from collections.abc import Iterator

import pytest

from standins.ports import free_port
from standins.processes import Process, Processes
from tests.conftest import EXPECTED, System
from tests.test_control import run_operator_command, status, wait_until
from tests.test_plain import book, runs


class CutSystem(System):
    """Two failure domains whose links to each other and the platform can be cut."""

    links: list[Process]

    def cut(self) -> None:
        """Partition pilar from the platform and from tigre."""
        for link in self.links:
            link.signal(signal.SIGSTOP)

    def heal(self) -> None:
        """Restore the links."""
        for link in self.links:
            link.signal(signal.SIGCONT)


def start_link(processes: Processes, name: str, target: int) -> Process:
    port = free_port()
    command = [sys.executable, "-m", "standins.link"]
    return processes.start(
        name, [*command, f"--port={port}", f"--target={target}"], port
    )


def port_of(process: Process) -> int:
    return int(process.url.rpartition(":")[2])


@pytest.fixture
def cut_system(tmp_path) -> Iterator[CutSystem]:
    with Processes(tmp_path) as processes:
        platform = processes.start_platform()
        domains = ("pilar", "tigre")
        engines = [
            (processes.start_engine(f"runner-{domain}", step=0.002), domain)
            for domain in domains
        ]
        bookings = [
            (processes.start_booking(f"booking-{number}"), domain)
            for number, domain in enumerate(domains, start=1)
        ]
        processes.add_model("drafting", engines)
        processes.add_plain("booking", bookings, repeatable=False)
        token = processes.add_workspace("couriers")
        peer_ports = {domain: free_port() for domain in domains}
        to_platform = start_link(processes, "link-platform", port_of(platform))
        to_tigre = start_link(processes, "link-tigre", peer_ports["tigre"])
        to_pilar = start_link(processes, "link-pilar", peer_ports["pilar"])
        processes.start_host(
            "entry-a",
            failure_domain="pilar",
            platform=to_platform.url,
            peer_listen=f"127.0.0.1:{peer_ports['pilar']}",
            peers=f"entry-b@tigre=127.0.0.1:{port_of(to_tigre)}",
        )
        processes.start_host(
            "entry-b",
            failure_domain="tigre",
            peer_listen=f"127.0.0.1:{peer_ports['tigre']}",
            peers=f"entry-a@pilar=127.0.0.1:{port_of(to_pilar)}",
        )
        processes.wait_ready()
        system = CutSystem(processes, token)
        system.links = [to_platform, to_tigre, to_pilar]
        yield system


class TestCut:
    def test_both_sides_serve_safely_and_converge_after_healing(self, cut_system):
        wait_until(lambda: status(cut_system, "entry-b")["peers"][0]["alive"])
        cut_system.cut()
        for host in ("entry-a", "entry-b"):
            assert cut_system.chat(host).text == EXPECTED
        refused = book(cut_system, "entry-a", "s1", key="k1", timeout=60)
        assert refused.error["code"] == "claims_unavailable"
        assert refused.error["outcome"] == "not_run"
        assert book(cut_system, "entry-b", "s1", key="k1").status == 200
        value = '{"id": "w2", "token_sha256": "%s"}' % ("0" * 64)
        answer = run_operator_command(
            cut_system, "entry-b", "workspace", "put", "w2", value
        )
        assert status(cut_system, "entry-a")["config_version"] < answer["version"]
        wait_until(
            lambda: not status(cut_system, "entry-b")["peers"][0]["alive"], seconds=60
        )
        cut_system.heal()
        wait_until(
            lambda: (
                status(cut_system, "entry-a")["config_version"] >= answer["version"]
            ),
            seconds=60,
        )
        wait_until(
            lambda: status(cut_system, "entry-b")["peers"][0]["alive"], seconds=60
        )
        again = book(cut_system, "entry-a", "s1", key="k1", timeout=60)
        assert again.status in (200, 409)
        assert runs(cut_system, "s1") == 1
