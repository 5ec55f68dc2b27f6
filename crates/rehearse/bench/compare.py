#!/usr/bin/env python3
"""Plays the same days and seeds with two checkouts and tells the paired difference of their worth.

Usage: compare.py BENCH BEFORE AFTER OUT_DIR JOBS WHY SITE:DAY[:SEED]...

BEFORE and AFTER are checkouts, SITE is a site file. What each day printed goes to OUT_DIR/before and OUT_DIR/after; a day
whose report is there already isn't played again. Exits with 1 if any rule was broken or a day wasn't played."""

import concurrent.futures
import pathlib
import statistics
import subprocess
import sys

import report


def play(bench, checkout, out, why, day):
    """What one day printed, played unless it was before."""
    site, name, *seed = day.split(":")
    file = out / ("-".join([pathlib.Path(site).stem, name, *seed]) + ".txt")
    if not file.exists():
        command = [bench, "run", site, name, "--why", why, "--jobs", "1"]
        command += ["--seed", seed[0]] if seed else []
        done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        file.write_text(done.stdout + done.stderr)
    return file.read_text(errors="replace")


def table(days, before, after):
    """A table of pairs with their mean and spread, as lines, and whether every day was played and kept the rules."""
    lines, differences, good = ["| day | before | after | difference |", "|---|---|---|---|"], [], True
    for day, *pair in zip(days, before, after):
        if None in pair:
            good = False
            lines.append(f"| {day} | not played | | |")
            continue
        (old, old_broken), (new, new_broken) = pair
        differences.append(new - old)
        broken = f" **{new_broken}**" if new_broken else ""
        good = good and not new_broken
        lines.append(f"| {day} | {old:.3f}{' (broken)' if old_broken else ''} | {new:.3f}{broken} | {new - old:+.3f} |")
    if differences:
        spread = statistics.stdev(differences) if len(differences) > 1 else float("nan")
        verdict = "more" if abs(statistics.mean(differences)) > spread else "not more"
        lines.append(f"\n{len(differences)} pairs: mean {statistics.mean(differences):+.3f}, spread {spread:.3f}: {verdict} than the spread")
    return lines, good


def main():
    """Plays all days of both checkouts, some at a time."""
    bench, before, after, out, jobs, why, *days = sys.argv[1:]
    played = []
    for name, checkout in (("before", before), ("after", after)):
        folder = pathlib.Path(out) / name
        folder.mkdir(parents=True, exist_ok=True)
        subprocess.run([bench, "build"], cwd=checkout, check=True, capture_output=True)
        with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
            texts = pool.map(lambda day: play(bench, checkout, folder, why, day), days)
            played.append([report.worth_of(text) for text in texts])
    lines, good = table(days, *played)
    print("\n".join(lines))
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
