"""The loss report lists the late and lost requests of a recorded day, with causes."""

import json

from click.testing import CliRunner

from bench.losses import Fault, find_losses, main, read_faults, read_log


def streamed(first: int, longest: int) -> dict[str, str]:
    """Return the fields that the front logs for a complete stream, times in ms."""
    return {"result": f"streamed: first after {first} ms, longest pause {longest} ms"}


DAY = [
    (1.0, "h1", "g1", "route", {"choice": "e1", "position": 0}),
    (
        7.0,
        "h1",
        "g1",
        "front",
        streamed(900, 40),
    ),
    (2.0, "h1", "g2", "route", {"choice": "e1", "position": 0}),
    (5.0, "h1", "g2", "retry", {"reason": "a replica has its state", "position": 9}),
    (
        8.0,
        "h1",
        "g2",
        "front",
        streamed(900, 701),
    ),
    (3.0, "h2", "g3", "route", {"choice": "e2", "position": 0}),
    (3.5, "h2", "g3", "retry", {"reason": "lost by frozen", "position": 0}),
    (4.5, "h2", "c1", "admit", {}),
    (4.6, "h2", "c1", "front", {"result": "refused: overloaded"}),
    (5.0, "h2", "c2", "front", {"result": "answered: 200 from r"}),
    (6.0, "h1", "c3", "front", {"result": "answered: 500 from r"}),
    (9.0, "h1", "g4", "route", {"choice": "e1", "position": 0}),
    (
        9.9,
        "h1",
        "g4",
        "front",
        streamed(4600, 1),
    ),
]


def write_day() -> list[str]:
    rows = [
        f"{at:10.4f} {host} "
        + json.dumps({"message_type": f"passtally:{part}", "request": request} | more)
        for at, host, request, part, more in DAY
    ]
    return ["day  own/srv", *rows, "   1.0 h1 {cut off"]


FAULTS = [Fault(kind="crash", begin=3.2, end=4.0)]


class TestLosses:
    def find(self, **limits):
        losses = find_losses(read_log(write_day()), FAULTS, **limits)
        return {loss.request: loss for loss in losses}

    def test_requests_served_in_time_are_not_listed(self):
        assert set(self.find()) == {"g2", "g3", "g4", "c1", "c3"}

    def test_a_late_stream_has_the_event_before_the_pause_as_cause(self):
        loss = self.find()["g2"]
        assert loss.cause == "late: pause after a replica has its state"
        assert (loss.phase, loss.window, loss.endpoint) == ("resume", 2.0, "e1")
        assert self.find()["g4"].cause == "late: first output"

    def test_a_request_without_an_end_was_lost_with_its_host(self):
        loss = self.find()["g3"]
        assert loss.cause == "no end: its host was lost"
        assert (loss.host, loss.phase, loss.faults) == ("h2", "read", ("crash",))

    def test_rejections_and_failures_are_listed(self):
        assert self.find()["c1"].cause == "refused: overloaded"
        assert self.find()["c1"].phase == "gate"
        assert self.find()["c3"].cause == "answered: N from r"

    def test_the_pause_limit_can_be_set(self):
        assert "g2" not in self.find(pause_ms=800)

    def test_faults_are_read_from_the_report(self):
        row = {"at_s": 3.2, "to_s": 4.0, "kind": "crash", "what": "2"}
        assert read_faults({"events": [row]}) == FAULTS


class TestCommand:
    def test_the_output_is_a_table_or_rows_of_json(self, tmp_path):
        log = tmp_path / "day.txt"
        log.write_text("\n".join(write_day()))
        shown = CliRunner().invoke(main, [str(log)])
        assert shown.output.endswith("   5 late or lost\n")
        rows = CliRunner().invoke(main, [str(log), "--json"]).output.splitlines()
        assert [json.loads(row)["request"] for row in rows] == [
            "g2",
            "g3",
            "c1",
            "c3",
            "g4",
        ]
