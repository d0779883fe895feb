"""Generated reference pages are up to date; ``passtally trace`` filters a log."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from passtally.cli import main
from passtally.reference import PAGES
from passtally.trace import trace

DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("page", sorted(PAGES))
def test_a_page_is_current(page):
    assert (DOCS / f"{page}.md").read_text() == PAGES[page](), (
        f"run: python -m passtally reference {page} > docs/{page}.md"
    )


class TestTrace:
    LINES = (
        '{"message": "route: Chose r1.", "request": "g1", "peer": "r1"}',
        "not json",
        '{"message": "route: Chose r2.", "request": "g2", "timestamp": 2}',
        '{"message": "retry: Chose resume.", "request": "g1", "timestamp": 3}',
    )

    def test_it_prints_the_lines_of_a_request_in_order(self):
        printed = list(trace(self.LINES, "g1"))
        assert len(printed) == 2
        assert "Chose r1. peer=r1" in printed[0]
        assert "resume" in printed[1]

    def test_a_request_without_lines_exits_with_1(self):
        result = CliRunner().invoke(main, ["trace", "g9"], input="\n".join(self.LINES))
        assert result.exit_code == 1
        assert "g9" in result.output
