"""A failure domain is cut off from the platform and the others, and comes back."""

import signal
import sys
from collections.abc import Iterator

import pytest

from standins.processes import Process, Processes, free_port
from tests.conftest import EXPECTED, System
from tests.test_control import operate, status, wait_until
from tests.test_plain import book, runs


class CutSystem(System):
    """Two failure domains with links between them and to the platform."""

    links: list[Process]

    def cut(self) -> None:
        """Cut pilar off from the platform and from tigre."""
        for link in self.links:
            link.signal(signal.SIGSTOP)

    def heal(self) -> None:
        """Bring the links back."""
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
def parted(tmp_path) -> Iterator[CutSystem]:
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
    def test_each_side_serves_what_it_can_and_they_come_together(self, parted):
        wait_until(lambda: status(parted, "entry-b")["peers"][0]["alive"])
        parted.cut()
        for host in ("entry-a", "entry-b"):
            assert parted.chat(host).text == EXPECTED
        refused = book(parted, "entry-a", "s1", key="k1", timeout=60)
        assert refused.error["code"] == "claims_unavailable"
        assert refused.error["outcome"] == "not_run"
        assert book(parted, "entry-b", "s1", key="k1").status == 200
        value = '{"id": "w2", "token_sha256": "%s"}' % ("0" * 64)
        answer = operate(parted, "entry-b", "workspace", "put", "w2", value)
        assert status(parted, "entry-a")["config_version"] < answer["version"]
        wait_until(
            lambda: not status(parted, "entry-b")["peers"][0]["alive"], seconds=60
        )
        parted.heal()
        wait_until(
            lambda: status(parted, "entry-a")["config_version"] >= answer["version"],
            seconds=60,
        )
        wait_until(lambda: status(parted, "entry-b")["peers"][0]["alive"], seconds=60)
        again = book(parted, "entry-a", "s1", key="k1", timeout=60)
        assert again.status in (200, 409)
        assert runs(parted, "s1") == 1
