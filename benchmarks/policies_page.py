"""Generates the table of docs/design/policies.md from the benchmark results.

``python -m benchmarks.policies_page`` writes it between two markers in the page; ``--check`` fails
if the page and the results disagree.
"""

import argparse
import sys
from pathlib import Path

from benchmarks.measure import load

PAGE = Path(__file__).parent.parent / "docs" / "design" / "policies.md"
_BEGIN, _END = "<!-- figures: begin -->", "<!-- figures: end -->"
_LENGTHS = ("under-4k", "4k-32k", "32k-100k", "over-100k")
_HEADING = (
    "case", "policy", "slowdown", "p95 < 4k s", "4k-32k s", "32k-100k s", "> 100k s",
    "dossiers in time", "late/admitted", "not run",
)  # fmt: skip


def figures() -> str:
    """Return the table with its markers."""
    lines = [_BEGIN, "", _row(_HEADING), _row(["---"] * len(_HEADING))]
    for row in load("policies")["rows"]:
        p95 = [row["by_length"][name]["first_token_s"]["p95"] for name in _LENGTHS]
        lines.append(
            _row(
                [
                    row["case"],
                    f"`{row['policy']}`",
                    f"{row['slowdown_of_p95']:.2f}",
                    *(f"{value:.2f}" for value in p95),
                    f"{row['dossiers_in_time']:.3f} of {row['dossiers_admitted']}",
                    f"{row['late_per_admitted']:.4f}",
                    f"{row['not_run']} of {row['requests']}",
                ]
            )
        )
    return "\n".join([*lines, "", _END])


def _row(cells) -> str:
    return "| " + " | ".join(cells) + " |"


def main() -> int:
    """Update the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare without writing")
    args = parser.parse_args()
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(_BEGIN)
    updated = before + figures() + rest.partition(_END)[2]
    if not args.check:
        PAGE.write_text(updated, encoding="utf-8")
        return 0
    if updated != text:
        print(f"{PAGE} and benchmarks/results disagree: run python -m benchmarks.policies_page")
        return 1
    print(f"{PAGE.name} agrees with the results")
    return 0


if __name__ == "__main__":
    sys.exit(main())
