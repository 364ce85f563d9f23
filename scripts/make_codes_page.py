"""Writes docs/CODES.md and docs/SETTINGS.md from the code; tests check them."""

from __future__ import annotations

from pathlib import Path

from onyxspoke.core.codes import (
    CODE_DESCRIPTIONS,
    ExitCode,
    ResultCode,
    http_status,
    outcome_of,
)
from onyxspoke.core.settings_tree import render_settings_page
from onyxspoke.core.shard.load_option_definitions import render_load_page

SETTINGS_PAGE = Path(__file__).resolve().parent.parent / "docs" / "SETTINGS.md"
PAGE = Path(__file__).resolve().parent.parent / "docs" / "CODES.md"

HEAD = """# Result codes

Every answer and every error carries one of these numbers. The outcome says what a caller
may conclude: `completed` (the whole answer is there), `not_run` (it did not run and will
not), `unknown` (it may have run). The page is written by `scripts/make_codes_page.py`.

| code | name | outcome | HTTP status | meaning |
|---|---|---|---|---|
"""


def main() -> None:
    """Write the page."""
    rows = [
        f"| {int(code)} | `{code.name}` | {outcome_of(code).value} | {http_status(code)} "
        f"| {CODE_DESCRIPTIONS[code]} |"
        for code in ResultCode
    ]
    exits = [f"| {int(code)} | `{code.name}` |" for code in ExitCode]
    tail = "\n\n## Exit codes of the binaries\n\n| exit code | name |\n|---|---|\n"
    settings = render_settings_page() + render_load_page()
    SETTINGS_PAGE.write_text(settings, encoding="utf-8")
    PAGE.write_text(HEAD + "\n".join(rows) + tail + "\n".join(exits) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
