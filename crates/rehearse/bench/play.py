#!/usr/bin/env python3
"""Plays day files and tells which broke a rule.

Usage: play.py BENCH SITE OUT_DIR JOBS WHY DAY_FILE...

BENCH is the users' bench and SITE a site file, both where they lie; what each day printed goes to OUT_DIR.
Exits with 1 if any rule was broken."""

import concurrent.futures
import pathlib
import re
import subprocess
import sys


def play(bench, site, out, why, day):
    """Plays one day; its name, worth and broken rules."""
    command = [bench, "run", site, str(day), "--why", why, "--jobs", "1"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    (out / f"{day.stem}.txt").write_text(text)
    row = re.search(rf"^{re.escape(day.stem)} .*$", text, re.M)
    broken = re.search(r"BROKEN: (.*)$", text, re.M)
    worth = row[0].split()[3] if row else "not played"
    return day.stem, worth, broken[1] if broken else ""


def main():
    """Plays all days, some at a time."""
    bench, site, out, jobs, why, *days = sys.argv[1:]
    out = pathlib.Path(out)
    out.mkdir(parents=True, exist_ok=True)
    files = [pathlib.Path(day) for day in days]
    subprocess.run([bench, "build"], check=True, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        played = list(pool.map(lambda day: play(bench, site, out, why, day), files))
    for name, worth, broken in played:
        print(f"{name:36} {worth:>10}  {broken}")
    bad = [name for name, worth, broken in played if broken or worth == "not played"]
    print(f"{len(played)} days, {len(bad)} broken or not played")
    sys.exit(1 if bad else 0)


main()
