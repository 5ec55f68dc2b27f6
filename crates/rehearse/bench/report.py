"""Reads what a played day printed: its row, its prices, and the log lines of its nodes."""

import collections
import json
import re

ROW = re.compile(r"^(?P<day>\S+) +\d+/\d+ +[\d.]+ +(?P<worth>-?\d\.\d+) ")
PRICE = re.compile(r"^ +-(?P<price>-?\d\.\d+) +-?[\d.]+ (?P<what>.+)$")
LINE = re.compile(r"^ *(?P<at>-?\d+\.\d+) (?P<node>\S+) (?P<event>\{.*\})$")
SERVICE = re.compile(r"(\w+) is (\w+)")


def worth_of(text):
    """The worth of the one day that was played, and the rules that were broken; nothing if none was played."""
    for line in text.splitlines():
        row = ROW.match(line)
        if row:
            broken = re.search(r"BROKEN: (.*)$", line)
            return float(row["worth"]), broken[1] if broken else ""
    return None


def prices_of(text):
    """What was taken off, by reason, the largest first."""
    found = [PRICE.match(line) for line in text.splitlines()]
    prices = [(float(row["price"]), row["what"].strip()) for row in found if row]
    return sorted((price for price in prices if price[0] > 0), reverse=True)


def events_of(text):
    """The log lines of all nodes: seconds from the start of traffic, and the event. Unreadable ones are counted."""
    events, unreadable = [], 0
    for line in text.splitlines():
        found = LINE.match(line)
        if not found:
            continue
        try:
            events.append((float(found["at"]), json.loads(found["event"])))
        except json.JSONDecodeError:
            unreadable += 1
    return events, unreadable


def service_names(text):
    """The names that a day gives its services, as the site file has them."""
    for line in text.splitlines():
        if line.startswith("on the wire today:"):
            return {told: name for name, told in SERVICE.findall(line)}
    return {}


def refusals_of(events, names, step):
    """Requests that weren't answered, by span of `step` seconds, service, outcome and the last thing that went wrong;
    keys with the most of them; and lines that nodes left out."""
    spans, keys, left_out = collections.Counter(), collections.Counter(), 0
    for at, event in events:
        if event["event"] == "lines_left_out":
            left_out += event["count"]
        if event["event"] != "request" or event["outcome"] == "answered" or at < 0:
            continue
        service = names.get(event["service"], event["service"] or "-")
        spans[int(at // step * step), service, event["outcome"], event["detail"]] += 1
        if event.get("key") is not None:
            keys[service, event["key"]] += 1
    return spans, keys, left_out
