"""Writes docs/SCORES.md: every full score on the bench, by day, from the journal."""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "SCORES.md"
HEAD = """# Scores on the users' bench

Every finished `fleetbench score`, oldest first, made from `journal/` by
`python3 -m tools.scores`. Columns of days: worth (the score of the day). A day with a
broken rule counts 0. `dirty` means that the sources differed from the commit.
"""


def entries():
    """Return the finished scores in the journal, oldest first."""
    found = []
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "score" and entry.get("score") is not None:
            found.append(entry)
    return found


def row(entry, names):
    """Return one row of a site's table."""
    days = {day["name"]: day for day in entry["days"]}
    cells = [entry["at"][0][5:16].replace("T", " "), entry["head"][:8]]
    cells[1] += " dirty" if entry["dirty"] else ""
    cells += [f"{entry['score']:.3f}", "yes" if entry["figures"].get("gate") else "no"]
    for name in names:
        day = days.get(name)
        if day is None:
            cells.append("not run")
            continue
        broken = f" {'/'.join(day['rules'])}" if day["rules"] else ""
        cells.append(f"{day['G']:.3f} ({day['score']:.2f}){broken}")
    return "| " + " | ".join([*cells, entry["why"]]) + " |"


def page(found):
    """Return the text of the page."""
    text = [HEAD]
    for site in sorted({entry["site"] for entry in found}):
        mine = [entry for entry in found if entry["site"] == site]
        names = [
            d["name"] for d in mine[-1]["days"] if not d["name"].startswith("fresh")
        ]
        head = ["at", "commit", "score", "gate", *names, "why"]
        text.append(f"\n## {site}\n")
        text.append("| " + " | ".join(head) + " |")
        text.append("|" + "---|" * len(head))
        text += [row(entry, names) for entry in mine]
    return "\n".join(text) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page(entries()))
