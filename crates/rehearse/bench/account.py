#!/usr/bin/env python3
"""Tells where a played day lost worth: prices, and unanswered requests by span, service, outcome and reason.

Usage: account.py REPORT [STEP]

REPORT is what the bench printed for one day with the logs of all nodes, STEP the length of a span in seconds (2).
Nodes write a bounded number of lines about requests; the others are counted, so numbers tell shares, not sums."""

import pathlib
import sys

import report

MOST_REASONS = 6
MOST_KEYS = 8


def account(text, step):
    """The account of one day, as lines."""
    played = report.worth_of(text)
    yield f"worth {played[0]:.3f} {played[1]}".rstrip() if played else "no day was played"
    for price, what in report.prices_of(text):
        yield f"  -{price:.4f}  {what}"
    events, unreadable = report.events_of(text)
    spans, keys, left_out = report.refusals_of(events, report.service_names(text), step)
    yield f"{len(events)} log lines, {unreadable} unreadable; {left_out} about requests left out by their nodes"
    for span in sorted({span for span, *_ in spans}):
        reasons = [(count, rest) for (at, *rest), count in spans.items() if at == span]
        told = [f"{count} {' '.join(rest).strip()}" for count, rest in sorted(reasons, reverse=True)[:MOST_REASONS]]
        yield f"{span:4} s  " + "; ".join(told)
    for (service, key), count in keys.most_common(MOST_KEYS):
        yield f"key {key} of {service}: {count}"


def main():
    """Prints the account of a report."""
    step = float(sys.argv[2]) if len(sys.argv) > 2 else 2.0
    print("\n".join(account(pathlib.Path(sys.argv[1]).read_text(errors="replace"), step)))


if __name__ == "__main__":
    main()
