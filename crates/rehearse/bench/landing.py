#!/usr/bin/env python3
"""Plays all that a landing asks for: scores, hunts, sweeps and days of our own, and tells how each ended.

Usage: landing.py BENCH PLAN OUT_DIR WHY

PLAN is a TOML file of the caller's, for example:

    [[run]]
    site = "/path/of/site.toml"
    score = true            # its standard days
    hunt = 40               # days with other luck
    sweep = 300             # most machines
    days = ["own.toml"]     # days of our own
    jobs = 4                # days at a time

Runs are made one after the other. What each printed lies in OUT_DIR, named by the commit: a run that has ended there
isn't made again, so that the command may be stopped and begun anew; where the tree differs from its commit, or the run
was killed, it is. The names of sites, and of a site's days, must differ. Ends with a table, and with 1 if a rule or a gate
broke or a run didn't end."""

import concurrent.futures
import pathlib
import re
import subprocess
import sys
import tomllib

DEFAULT_JOBS = 3
# How git marks a tree that differs from its commit.
CHANGED = "-dirty"


def commit(tree="."):
    """The commit that is played, marked if the tree differs from it. The journal doesn't count: the bench adds its entries
    as it plays, and the next run of the plan would be taken for another tree's."""
    asked = ["git", "-C", tree, "describe", "--always", "--exclude=*"]
    name = subprocess.run(asked, capture_output=True, text=True, check=True).stdout.strip()
    differs = subprocess.run(["git", "-C", tree, "diff", "--quiet", "HEAD", "--", ".", ":!journal"], check=False)
    return name + (CHANGED if differs.returncode else "")


def all_runs_of(plan):
    """Each run of a plan: a name and the arguments of the bench."""
    for entry in plan["run"]:
        site = entry["site"]
        name = pathlib.Path(site).stem
        jobs = entry.get("jobs", DEFAULT_JOBS)
        if entry.get("score"):
            yield f"{name}-score", ["score", site, "--jobs", str(jobs)]
        if entry.get("hunt"):
            yield f"{name}-hunt", ["hunt", site, "--days", str(entry["hunt"]), "--jobs", str(jobs)]
        if entry.get("sweep"):
            yield f"{name}-sweep", ["sweep", site, "--most", str(entry["sweep"]), "--jobs", str(jobs)]
        for day in entry.get("days", []):
            yield f"{name}-{pathlib.Path(day).stem}", ["run", site, day, "--jobs", "1"]


def runs_of(plan):
    """As `all_runs_of`; refuses runs of one name, since the second would be taken for the first."""
    names = set()
    for name, arguments in all_runs_of(plan):
        if name in names:
            raise ValueError(f"two runs are named {name}: give their files other names")
        names.add(name)
        yield name, arguments


def verdict(text, code):
    """What a run's output says: whether it is good, and the lines that tell."""
    broken = re.findall(r"^\S+ .*BROKEN: .*$", text, re.M)
    gates = re.findall(r"^GATE .*$", text, re.M)
    failed = [gate for gate in gates if gate.startswith("GATE failed")]
    good = code == 0 and not broken and not failed
    return good, [row[:160] for row in broken + gates] or [f"exit {code}"]


def play(bench, out, why, name, arguments, reuse=True):
    """Makes one run, unless it has ended before and that may be reused; its output and exit code."""
    told, ended = out / f"{name}.txt", out / f"{name}.exit"
    if reuse and ended.exists():
        return told.read_text(), int(ended.read_text())
    ended.unlink(missing_ok=True)
    with told.open("w") as file:
        done = subprocess.run([bench, *arguments, "--why", why], stdout=file, stderr=subprocess.STDOUT, check=False)
    # A negative code is a signal's: the run didn't end by itself.
    if done.returncode >= 0:
        ended.write_text(str(done.returncode))
    return told.read_text(), done.returncode


def main():
    """Makes all runs of a plan."""
    bench, plan, out, why = sys.argv[1:]
    version = commit()
    out = pathlib.Path(out) / version
    out.mkdir(parents=True, exist_ok=True)
    subprocess.run([bench, "build"], check=True, capture_output=True)
    runs = list(runs_of(tomllib.loads(pathlib.Path(plan).read_text())))
    alone = [run for run in runs if run[1][0] != "run"]
    days = [run for run in runs if run[1][0] == "run"]
    reuse = not version.endswith(CHANGED)
    results = [(name, play(bench, out, why, name, arguments, reuse)) for name, arguments in alone]
    with concurrent.futures.ThreadPoolExecutor(DEFAULT_JOBS) as pool:
        played = pool.map(lambda run: play(bench, out, why, *run, reuse), days)
        results += zip([name for name, _ in days], played)
    bad = 0
    for name, (text, code) in results:
        good, lines = verdict(text, code)
        bad += not good
        print(f"{'good' if good else 'BAD ':4} {name}")
        for line in lines:
            print(f"       {line}")
    print(f"{version}: {len(results)} runs, {bad} bad")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
