"""Write a copy of a users' site file with more machines and workers, for trials at scale.

A trial of its own, not one of the users' days: the copy stays outside the repository.
"""

from __future__ import annotations

import argparse
import re
from pathlib import Path

FRONT = re.compile(r"(class = \"front\".*?count = )(\d+)(, spare = )(\d+)")
WORKERS = re.compile(r"(\{ zone = \"[^\"]+\", count = )(\d+)( \})")


def scale_site(text: str, factor: float) -> str:
    """Return a site's text with each count of machines and workers times ``factor``."""
    text = FRONT.sub(
        lambda found: found[1] + str(round(int(found[2]) * factor)) + found[3] + "0", text
    )
    return WORKERS.sub(lambda found: found[1] + str(round(int(found[2]) * factor)) + found[3], text)


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("factor", type=float)
    parser.add_argument("target", type=Path)
    arguments = parser.parse_args()
    arguments.target.write_text(scale_site(arguments.site.read_text(), arguments.factor))


if __name__ == "__main__":
    main()
