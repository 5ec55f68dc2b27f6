#!/usr/bin/env python3
"""Writes deployments that nobody has seen: a given site file, changed in one way each.

Usage: variants.py SITE OUT_DIR

The site file is read where it lies, with the files beside it; OUT_DIR is a scratch folder."""

import pathlib
import re
import shutil
import sys

SECOND_KEYED = {"tegid": "cludo", "caroni": "returns-svc"}


def scaled(text, field, factor):
    """Multiplies each value of a field."""
    return re.sub(rf"\b{field} = ([0-9.]+)", lambda found: f"{field} = {float(found[1]) * factor:g}", text)


def whole(text, field, value):
    """Sets each value of a field."""
    return re.sub(rf"\b{field} = [0-9.]+", f"{field} = {value}", text)


def second_keyed(text, name):
    """Gives a second service's keys owners."""
    text = re.sub(rf'(\{{ name = "{name}", servers.*?) \}},', r"\1, sharded = true, warm_s = 3.0 },", text)
    return re.sub(
        rf'(service = "{name}", also = \[\].*?)(, timeout_ms = [0-9.]+)? \}},\n',
        lambda found: f"{found[1]}, things = 20000, warm_gain = 0.0, skew = 0.9{found[2] or ''} }},\n",
        text,
        count=1,
    )


def main():
    """Writes all variants of a site."""
    site = pathlib.Path(sys.argv[1])
    out = pathlib.Path(sys.argv[2])
    text = site.read_text()
    keyed = next(name for start, name in SECOND_KEYED.items() if site.stem.startswith(start))
    variants = {
        "reset-when-full": text.replace('on_full = "shed"', 'on_full = "reset"'),
        "few-connections": whole(text, "conn_cap", 22),
        "slow-links": scaled(scaled(text, "cross_zone_ms", 12), "client_ms", 4),
        "thin-machine-links": whole(text, "link_mbps", "12.0"),
        "weak-machines": whole(whole(text, "cpu_share", "0.1"), "memory_mb", "120"),
        "short-idle": whole(text, "idle_close_ms", 1500),
        "second-keyed": second_keyed(text, keyed),
        "short-bounds": whole(whole(whole(text, "grace_s", "4.0"), "drain_ms", 1200), "config_ms", 1500),
        "small-store": whole(whole(text, "writes_per_s", "12.0"), "reads_per_s", "60.0"),
        "small-queue": whole(text, "queue", 2),
        "few-slots": scaled(text, "per_s", 0.4).replace("slots = 18", "slots = 7"),
        "four-of-each": scaled(re.sub(r"count = 1, app", "count = 4, app", text), "per_s", 2.0),
        "no-load-header": text.replace("load_header = true", "load_header = false"),
    }
    for name, changed in variants.items():
        folder = out / name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / site.name).write_text(changed)
        for beside in ("wire.json", "CUT"):
            shutil.copy(site.parent / beside, folder / beside)


main()
