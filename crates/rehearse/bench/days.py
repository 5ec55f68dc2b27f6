#!/usr/bin/env python3
"""Writes days of our own: each kind of trouble, in each of its variants, twice in a day and with a burst.

Usage: days.py SITE OUT_DIR [PAIRS]

Besides, each way in which the store is down is paired with each in which it forgets its history, with changes of the
configuration after both; PAIRS more days pair two of the other variants, drawn by a fixed seed.

Reads the traffic of the site's first day where the site file lies; nothing of it is kept here."""

import pathlib
import random
import sys
import tomllib

# Each line: name, list of (table, fields). Two moments of the day are filled in for each entry.
VARIANTS = [
    ("burst", [("faults", {"kind": "burst", "x": 1.7, "for_s": 3.0})]),
    ("hot_key", [("faults", {"kind": "hot_key", "share": 0.4, "count": 60, "for_s": 4.0})]),
    ("retry_abuse", [("faults", {"kind": "retry_abuse", "x": 3.0, "share": 0.3, "for_s": 5.0})]),
    ("give_up", [("faults", {"kind": "give_up", "share": 0.3, "for_s": 5.0})]),
    ("srv_crash", [("faults", {"kind": "srv_crash", "share": 0.25, "for_s": 4.0})]),
    ("srv_crash-dark", [("faults", {"kind": "srv_crash", "share": 0.25, "for_s": 4.0, "how": "dark"})]),
    ("srv_crash-gone", [("faults", {"kind": "srv_crash", "share": 0.15, "how": "gone"})]),
    ("srv_crash-all", [("faults", {"kind": "srv_crash", "share": 1.0, "for_s": 3.0, "how": "all across"})]),
    ("srv_slow", [("faults", {"kind": "srv_slow", "share": 0.3, "x": 8.0, "for_s": 5.0})]),
    ("srv_cut", [("faults", {"kind": "srv_cut", "share": 0.3, "for_s": 8.0})]),
    ("srv_cut-fronts", [("faults", {"kind": "srv_cut", "share": 0.3, "for_s": 8.0, "how": "fronts"})]),
    ("srv_cut-some", [("faults", {"kind": "srv_cut", "share": 0.3, "x": 0.4, "for_s": 8.0, "how": "some"})]),
    ("srv_cut-some-lossy", [("faults", {"kind": "srv_cut", "share": 0.3, "x": 0.4, "for_s": 8.0, "how": "some lossy"})]),
    ("srv_cut-one_way", [("faults", {"kind": "srv_cut", "share": 0.3, "for_s": 8.0, "how": "one_way"})]),
    ("srv_cut-reset", [("faults", {"kind": "srv_cut", "share": 0.3, "for_s": 8.0, "how": "reset"})]),
    ("release", [("plan", {"kind": "release", "share": 1.0, "x": 1.0, "gap_s": 1.0})]),
    ("replace_with_reuse", [("faults", {"kind": "replace_with_reuse", "share": 0.3})]),
    ("replace_with_reuse-dark", [("faults", {"kind": "replace_with_reuse", "share": 0.3, "how": "dark"})]),
    ("replace_with_reuse-drain", [("faults", {"kind": "replace_with_reuse", "share": 0.3, "how": "drain"})]),
    ("scale_out", [("plan", {"kind": "scale_out", "share": 0.4, "gap_s": 2.0})]),
    ("scale_in", [("plan", {"kind": "scale_in", "share": 0.25})]),
    ("scale_in-spot", [("faults", {"kind": "scale_in", "share": 0.2, "x": 2.0, "how": "spot"})]),
    ("applied_late", [("faults", {"kind": "applied_late", "x": 0.5, "for_s": 6.0, "how": "all"})]),
    ("applied_late-orders", [("faults", {"kind": "applied_late", "x": 0.7, "for_s": 6.0, "how": "orders"})]),
    ("applied_late-grants", [("faults", {"kind": "applied_late", "x": 0.7, "for_s": 6.0, "how": "grants"})]),
    ("applied_late-hot", [("faults", {"kind": "applied_late", "x": 0.5, "for_s": 6.0, "how": "all"}), ("faults", {"kind": "hot_key", "share": 0.45, "count": 60, "for_s": 4.0}), ("plan", {"kind": "scale_in", "share": 0.2})]),
    ("answer_lost", [("faults", {"kind": "answer_lost", "share": 0.6, "x": 0.1, "for_s": 5.0})]),
    ("answer_lost-reset", [("faults", {"kind": "answer_lost", "share": 0.6, "x": 0.4, "for_s": 5.0, "how": "reset"})]),
    ("garble", [("faults", {"kind": "garble", "share": 0.6, "x": 0.05, "for_s": 5.0})]),
    ("garble-extra", [("faults", {"kind": "garble", "share": 0.6, "x": 0.05, "for_s": 5.0, "how": "extra"})]),
    ("garble-extra-late", [("faults", {"kind": "garble", "share": 0.6, "x": 0.05, "for_s": 5.0, "how": "extra late"})]),
    ("garble-unframed", [("faults", {"kind": "garble", "share": 0.6, "x": 0.05, "for_s": 5.0, "how": "unframed"})]),
    ("garble-early", [("faults", {"kind": "garble", "share": 0.6, "x": 0.2, "for_s": 5.0, "how": "early"})]),
    ("node_kill", [("faults", {"kind": "node_kill", "share": 0.2})]),
    ("node_kill-power", [("faults", {"kind": "node_kill", "share": 0.2, "for_s": 4.0, "how": "power"})]),
    ("node_kill-leader", [("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race drain"})]),
    ("node_kill-leader-hard", [("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "leader hard"})]),
    ("node_kill-leader-power", [("faults", {"kind": "node_kill", "on": "core", "count": 2, "for_s": 4.0, "how": "leader power"})]),
    ("node_kill-giver", [("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "giver"})]),
    ("node_kill-meet", [("faults", {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "meet drain"})]),
    ("node_slow", [("faults", {"kind": "node_slow", "share": 0.2, "x": 8.0, "for_s": 5.0})]),
    ("node_freeze", [("faults", {"kind": "node_freeze", "share": 0.2, "for_s": 4.0})]),
    ("node_freeze-leader", [("faults", {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader"})]),
    ("node_freeze-leader-long", [("faults", {"kind": "node_freeze", "on": "core", "count": 2, "for_s": 8.0, "how": "leader"})]),
    ("clock_step", [("faults", {"kind": "clock_step", "share": 0.4, "x": 3000, "for_s": 4.0})]),
    ("clock_step-back", [("faults", {"kind": "clock_step", "share": 0.4, "x": 3000, "for_s": 4.0, "how": "back"})]),
    ("hup", [("plan", {"kind": "hup", "share": 1.0, "gap_s": 2.0})]),
    ("roll_term", [("plan", {"kind": "roll_term", "share": 1.0, "gap_s": 1.0})]),
    ("roll_term-busy", [("plan", {"kind": "roll_term", "share": 0.6, "gap_s": 1.0, "how": "busy"})]),
    ("roll_term-many", [("plan", {"kind": "roll_term", "share": 0.8, "x": 4.0, "gap_s": 3.0})]),
    ("herd_kill", [("faults", {"kind": "herd_kill", "share": 0.6})]),
    ("herd_kill-power", [("faults", {"kind": "herd_kill", "share": 0.6, "for_s": 2.0, "how": "power"})]),
    ("herd_kill-core", [("faults", {"kind": "herd_kill", "on": "core"})]),
    ("herd_kill-core-off", [("faults", {"kind": "herd_kill", "on": "core", "how": "off", "for_s": 2.0})]),
    ("after_ack_kill", [("faults", {"kind": "after_ack_kill", "for_s": 3.0})]),
    ("after_ack_kill-timed", [("faults", {"kind": "after_ack_kill", "for_s": 3.0, "count": 3, "how": "timed"})]),
    ("after_ack_kill-kill", [("faults", {"kind": "after_ack_kill", "count": 2, "how": "kill"})]),
    ("reset_conns", [("faults", {"kind": "reset_conns", "share": 0.5, "x": 0.7})]),
    ("core_cut-leader", [("faults", {"kind": "core_cut", "count": 1, "for_s": 5.5, "how": "leader race hard"})]),
    ("core_cut-one_way", [("faults", {"kind": "core_cut", "count": 2, "for_s": 5.5, "how": "leader one_way"})]),
    ("core_cut-all", [("faults", {"kind": "core_cut", "count": 1, "for_s": 5.5, "how": "leader all"})]),
    ("core_cut-split", [("faults", {"kind": "core_cut", "for_s": 5.5, "how": "split"})]),
    ("core_cut-near", [("faults", {"kind": "core_cut", "count": 2, "for_s": 5.5, "how": "near leader"})]),
    ("core_cut-many", [("faults", {"kind": "core_cut", "count": 8, "for_s": 5.5, "how": "leader"})]),
    ("core_cut-refuse", [("faults", {"kind": "core_cut", "count": 3, "for_s": 5.5, "how": "leader refuse"})]),
    ("core_cut-reader", [("faults", {"kind": "core_cut", "count": 2, "for_s": 5.5, "how": "reader drain"})]),
    ("core_cut-lure", [("faults", {"kind": "core_cut", "count": 2, "for_s": 5.5, "how": "lure"})]),
    ("core_cut-relieve", [("faults", {"kind": "core_cut", "count": 2, "for_s": 5.5, "how": "relieve"})]),
    ("node_cut", [("faults", {"kind": "node_cut", "share": 0.3, "for_s": 6.0})]),
    ("node_cut-all", [("faults", {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": "all"})]),
    ("node_cut-servers", [("faults", {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": "servers"})]),
    ("node_cut-reset", [("faults", {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": "all reset"})]),
    ("lossy", [("faults", {"kind": "lossy", "x": 0.05, "for_s": 6.0})]),
    ("platform_down", [("faults", {"kind": "platform_down", "for_s": 5.5})]),
    ("platform_down-silent", [("faults", {"kind": "platform_down", "for_s": 7.0, "how": "silent"})]),
    ("platform_down-busy", [("faults", {"kind": "platform_down", "for_s": 5.5, "how": "busy"})]),
    ("platform_down-reset", [("faults", {"kind": "platform_down", "for_s": 5.5, "how": "reset"})]),
    ("platform_down-lapse", [("faults", {"kind": "platform_down", "for_s": 5.5, "how": "silent lapse"})]),
    ("platform_down-kill", [("faults", {"kind": "platform_down", "for_s": 5.0, "how": "silent"}), ("faults", {"kind": "node_kill", "on": "core", "count": 2, "how": "leader"})]),
    ("platform_down-drain", [("faults", {"kind": "platform_down", "for_s": 5.0}), ("plan", {"kind": "scale_in", "share": 0.25}), ("plan", {"kind": "roll_term", "share": 0.4, "gap_s": 1.0})]),
    ("platform_down-nodes-busy", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes busy leader"})]),
    ("platform_down-nodes-many", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes many leader"})]),
    ("platform_down-nodes-reset", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes reset leader"})]),
    ("platform_down-nodes-silent", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes leader"})]),
    ("platform_down-nodes-drain", [("faults", {"kind": "platform_down", "share": 0.5, "for_s": 7.0, "how": "nodes many leader"}), ("plan", {"kind": "scale_in", "share": 0.25}), ("plan", {"kind": "config_change", "how": "route"}), ("faults", {"kind": "node_kill", "share": 0.2})]),
    ("platform_down-nodes-revoke", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes revoke leader"})]),
    ("srv_grey", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.5, "for_s": 6.0})]),
    ("srv_grey-errors", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "errors"})]),
    ("srv_grey-shed", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "shed"})]),
    ("srv_grey-busy", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "busy"})]),
    ("srv_grey-hang", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.5, "for_s": 6.0, "how": "hang"})]),
    ("srv_grey-reset", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "reset"})]),
    ("srv_grey-mute", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "mute"})]),
    ("srv_grey-slow", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 8.0, "for_s": 6.0, "how": "slow"})]),
    ("srv_grey-one_zone", [("faults", {"kind": "srv_grey", "share": 0.25, "x": 0.6, "for_s": 6.0, "how": "errors one_zone"})]),
    ("srv_lying_health-errors", [("faults", {"kind": "srv_lying_health", "share": 0.2, "for_s": 6.0, "how": "errors"})]),
    ("srv_lying_health-hang", [("faults", {"kind": "srv_lying_health", "share": 0.2, "for_s": 6.0, "how": "hang"})]),
    ("srv_lying_health-reset", [("faults", {"kind": "srv_lying_health", "share": 0.2, "for_s": 6.0, "how": "reset"})]),
    ("srv_lying_health-bad", [("faults", {"kind": "srv_lying_health", "share": 0.4, "for_s": 6.0, "how": "bad"}), ("faults", {"kind": "node_kill", "share": 0.3})]),
    ("srv_flap", [("faults", {"kind": "srv_flap", "share": 0.25, "gap_s": 1.4, "for_s": 6.0})]),
    ("idle_race", [("faults", {"kind": "idle_race", "share": 0.8, "x": 200.0, "for_s": 7.0})]),
    ("idle_race-short", [("faults", {"kind": "idle_race", "share": 0.8, "x": 40.0, "for_s": 7.0})]),
    ("platform_slow", [("faults", {"kind": "platform_slow", "x": 60.0, "for_s": 6.0})]),
    ("platform_slow-much", [("faults", {"kind": "platform_slow", "x": 300.0, "for_s": 6.0})]),
    ("platform_lost", [("faults", {"kind": "platform_lost", "x": 0.5, "for_s": 6.0})]),
    ("platform_lost-late", [("faults", {"kind": "platform_lost", "x": 0.5, "for_s": 6.0, "how": "late"}), ("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "leader"})]),
    ("platform_compact", [("faults", {"kind": "platform_compact", "x": 5.0, "for_s": 8.0, "how": "drain"}), ("plan", {"kind": "config_change", "how": "route"})]),
    ("cold_return", [("faults", {"kind": "cold_return", "for_s": 3.0})]),
    ("cold_return-dark-burst", [("faults", {"kind": "cold_return", "for_s": 3.0, "how": "dark"}), ("faults", {"kind": "burst", "x": 1.7, "for_s": 6.0})]),
    ("cold_return-store-down", [("faults", {"kind": "cold_return", "for_s": 3.0}), ("faults", {"kind": "platform_down", "for_s": 6.0})]),
    ("cold_return-restarts", [("faults", {"kind": "cold_return", "for_s": 2.0}), ("faults", {"kind": "herd_kill", "share": 0.5})]),
    ("scale_out-burst", [("plan", {"kind": "scale_out", "share": 0.6, "gap_s": 0.2}), ("faults", {"kind": "burst", "x": 1.7, "for_s": 6.0})]),
    ("evacuate", [("faults", {"kind": "evacuate", "for_s": 8.0})]),
    ("evacuate-warm-short", [("faults", {"kind": "evacuate", "for_s": 2.0, "how": "warm"})]),
    ("evacuate-store-down", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "platform_down", "for_s": 5.0})]),
    ("evacuate-store-refuses-some", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "platform_down", "share": 0.4, "for_s": 7.0, "how": "nodes leader"})]),
    ("evacuate-compact", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "platform_compact", "x": 5.0, "for_s": 8.0})]),
    ("evacuate-core_cut", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "leader"})]),
    ("evacuate-node_cut", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "all"})]),
    ("evacuate-one_way", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "one_way", "for_s": 5.0, "how": "all"})]),
    ("evacuate-leader-killed", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "leader hard"})]),
    ("evacuate-restarts", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("plan", {"kind": "roll_term", "share": 0.6, "gap_s": 0.3})]),
    ("evacuate-killed", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "herd_kill", "share": 0.6})]),
    ("evacuate-hot-burst", [("faults", {"kind": "evacuate", "for_s": 9.0}), ("faults", {"kind": "hot_key", "share": 0.4, "count": 60, "for_s": 5.0}), ("faults", {"kind": "burst", "x": 1.6, "for_s": 6.0})]),
    ("evacuate-cold_return", [("faults", {"kind": "evacuate", "for_s": 4.0}), ("faults", {"kind": "cold_return", "for_s": 3.0})]),
    ("config_change-route", [("plan", {"kind": "config_change", "how": "route"})]),
    ("config_change-weights", [("plan", {"kind": "config_change", "how": "weights"})]),
    ("config_change-timeout", [("plan", {"kind": "config_change", "how": "timeout"})]),
    ("config_change-tenant", [("plan", {"kind": "config_change", "how": "tenant"})]),
    ("config_change-idle", [("plan", {"kind": "config_change", "how": "idle"})]),
    ("config_storm", [("plan", {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.1})]),
    ("config_storm-route", [("plan", {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.1, "how": "route"})]),
    ("big_config", [("plan", {"kind": "big_config", "count": 350})]),
    ("mixed-freeze-hot", [("faults", {"kind": "node_freeze", "share": 0.3, "for_s": 3.0}), ("faults", {"kind": "hot_key", "share": 0.45, "count": 60, "for_s": 5.0}), ("plan", {"kind": "release", "share": 0.5, "x": 1.0, "gap_s": 1.0})]),
    ("mixed-cut-drain", [("faults", {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "all"}), ("plan", {"kind": "scale_in", "share": 0.25}), ("faults", {"kind": "garble", "share": 0.6, "x": 0.05, "for_s": 5.0, "how": "extra late"})]),
    ("mixed-kill-release", [("faults", {"kind": "herd_kill", "share": 0.5}), ("plan", {"kind": "release", "share": 1.0, "x": 1.0, "gap_s": 0.5}), ("faults", {"kind": "applied_late", "x": 0.5, "for_s": 6.0, "how": "all"})]),
]
# Where the deployment has tenants.
TENANT_VARIANTS = [
    ("hot_tenant", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 7.0})]),
    ("hot_tenant-leader-killed", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "node_kill", "on": "core", "count": 1, "how": "leader hard"})]),
    ("hot_tenant-restarts", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "herd_kill", "share": 0.5})]),
    ("hot_tenant-all-restart", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "herd_kill", "share": 1.0})]),
    ("hot_tenant-cut", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "node_cut", "share": 0.35, "for_s": 6.0, "how": "all"})]),
    ("hot_tenant-leader-cut", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "leader race"})]),
    ("hot_tenant-freeze", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "node_freeze", "share": 0.3, "for_s": 4.0})]),
    ("hot_tenant-store-down", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "platform_down", "for_s": 5.5, "how": "silent"})]),
    ("hot_tenant-lossy", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("faults", {"kind": "lossy", "x": 0.05, "for_s": 7.0})]),
    ("hot_tenant-roll", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 9.0}), ("plan", {"kind": "roll_term", "share": 0.6, "gap_s": 0.3})]),
    ("hot_tenant-abuse", [("faults", {"kind": "hot_tenant", "x": 7.5, "count": 1, "for_s": 7.0}), ("faults", {"kind": "retry_abuse", "x": 3.0, "share": 0.3, "for_s": 5.0})]),
    ("quota-down-storm", [("plan", {"kind": "config_change", "how": "quota down"}), ("plan", {"kind": "config_storm", "for_s": 3.0, "gap_s": 0.1}), ("faults", {"kind": "hot_tenant", "x": 4.0, "count": 1, "for_s": 8.0})]),
    ("revoke", [("plan", {"kind": "revoke", "count": 4, "gap_s": 0.4})]),
    ("revoke-store-silent", [("faults", {"kind": "platform_down", "for_s": 6.0, "how": "silent"}), ("plan", {"kind": "revoke", "count": 3, "gap_s": 0.4})]),
    ("revoke-nodes-silent", [("faults", {"kind": "platform_down", "share": 0.4, "for_s": 8.0, "how": "nodes revoke"}), ("plan", {"kind": "revoke", "count": 3, "gap_s": 0.4})]),
    ("revoke-slow", [("faults", {"kind": "platform_slow", "x": 60.0, "for_s": 6.0}), ("plan", {"kind": "revoke", "count": 3, "gap_s": 0.4})]),
    ("revoke-lost", [("faults", {"kind": "platform_lost", "x": 0.5, "for_s": 6.0}), ("plan", {"kind": "revoke", "count": 3, "gap_s": 0.4})]),
    ("revoke-cut", [("faults", {"kind": "node_cut", "share": 0.35, "for_s": 6.0}), ("plan", {"kind": "revoke", "count": 3, "gap_s": 0.4})]),
    ("tenant-changes", [("plan", {"kind": "config_change", "how": "tenant"}), ("plan", {"kind": "config_change", "how": "quota"}), ("faults", {"kind": "node_kill", "share": 0.2})]),
]
# Where the deployment has several regions.
REGION_VARIANTS = [
    ("shift", [("faults", {"kind": "shift", "share": 0.6, "for_s": 7.0})]),
    ("shift-burst", [("faults", {"kind": "shift", "share": 0.6, "for_s": 7.0}), ("faults", {"kind": "burst", "x": 1.7, "for_s": 4.0})]),
    ("zone_cut", [("faults", {"kind": "zone_cut", "for_s": 6.0})]),
    ("zone_loss", [("faults", {"kind": "zone_loss", "for_s": 3.0})]),
    ("big_config-storm", [("plan", {"kind": "big_config", "count": 1400}), ("plan", {"kind": "config_storm", "for_s": 2.0, "gap_s": 0.06})]),
    ("lossy-big_config", [("faults", {"kind": "lossy", "x": 0.05, "for_s": 7.0}), ("plan", {"kind": "big_config", "count": 1400})]),
    ("pipelines-roll-busy", [("plan", {"kind": "roll_term", "share": 1.0, "gap_s": 0.4, "how": "busy"}), ("faults", {"kind": "give_up", "share": 0.3, "for_s": 6.0})]),
    ("pipelines-idle_race", [("faults", {"kind": "idle_race", "share": 0.8, "x": 60.0, "for_s": 7.0}), ("plan", {"kind": "roll_term", "share": 0.4, "gap_s": 0.5})]),
    ("regions-leader-killed", [("faults", {"kind": "node_kill", "on": "core", "count": 2, "how": "leader hard"}), ("plan", {"kind": "config_storm", "for_s": 3.0, "gap_s": 0.1})]),
]
MOMENTS = (4.0, 18.0)
COMPACTS = {
    "compact": {"kind": "platform_compact", "for_s": 12.0, "x": 3.0},
    "compact-drain": {"kind": "platform_compact", "for_s": 12.0, "x": 6.0, "how": "drain"},
}
# After the store has gone down: when it forgets its history, and when the configuration changes.
COMPACT_AFTER_S = 3.5
CHANGES_AFTER_S = (5.0, 6.5, 8.0, 11.0)
PAIRS_SEED = 20
CLOSINGS = {
    "closing-kill_all": {"kind": "kill_all", "down_s": 1.0},
    "closing-power_off_all": {"kind": "power_off_all", "down_s": 1.0},
    "closing-power_off_all-timed": {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
    "closing-power_off_all-taken": {"kind": "power_off_all", "down_s": 1.0, "how": "taken"},
    "closing-wipe_after_ack": {"kind": "wipe_after_ack", "down_s": 1.0},
}


def toml(value):
    """A value in TOML's inline form."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else repr(value)


def write(out, name, seed, traffic, plan, faults, closing=None):
    """Writes one day."""
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", "one = 1.0", "zero = 0.0", "labels = []"]
    if closing:
        lines.append(f"closing = {toml(closing)}")
    lines += [f"plan = {toml(plan)}", f"faults = {toml(faults)}", f"traffic = {toml(traffic)}"]
    (out / f"{name}.toml").write_text("\n".join(lines) + "\n")


def write_store_pairs(out, base):
    """Writes the days on which the store is down and forgets its history."""
    downs = [(name, entries[0][1]) for name, entries in VARIANTS if entries[0][1]["kind"] == "platform_down"]
    for index, (name, down) in enumerate(downs):
        for compact, fields in COMPACTS.items():
            moment = MOMENTS[0]
            faults = [{"at": moment, **down}, {"at": moment + COMPACT_AFTER_S, **fields}]
            plan = [{"at": moment + after, "kind": "config_change", "how": "timeout"} for after in CHANGES_AFTER_S]
            write(out, f"{name}-{compact}", base["seed"] + 11 * index, base["traffic"], plan, faults)


def write_drawn_pairs(out, base, count):
    """Writes days that pair two variants, the second a second after the first, twice a day."""
    draw = random.Random(PAIRS_SEED)
    for number in range(count):
        first, second = draw.sample(VARIANTS, 2)
        tables = {"plan": [], "faults": []}
        for moment in MOMENTS:
            for offset, entries in ((0.0, first[1]), (1.0, second[1])):
                for table, fields in entries:
                    tables[table].append({"at": moment + offset, **fields})
        name = f"pair-{number}-{first[0]}-{second[0]}"
        write(out, name, base["seed"] + 13 * number, base["traffic"], tables["plan"], tables["faults"])


def variants_of(site):
    """The variants that fit a deployment."""
    variants = list(VARIANTS)
    if "tenants" in site["contracts"]:
        variants += TENANT_VARIANTS
    if len({zone["region"] for zone in site["zones"]}) > 1:
        variants += REGION_VARIANTS
    return variants


def main():
    """Writes all days of a site."""
    site = tomllib.loads(pathlib.Path(sys.argv[1]).read_text())
    out = pathlib.Path(sys.argv[2])
    out.mkdir(parents=True, exist_ok=True)
    base = site["day"][0]
    for index, (name, entries) in enumerate(variants_of(site)):
        tables = {"plan": [], "faults": []}
        for moment in MOMENTS:
            for table, fields in entries:
                tables[table].append({"at": moment, **fields})
        burst = {"at": 19.0, "kind": "burst", "x": 1.4, "for_s": 3.0}
        write(out, name, base["seed"] + 7 * index, base["traffic"], tables["plan"], tables["faults"] + [burst])
    for name, closing in CLOSINGS.items():
        write(out, name, base["seed"] + 3, base["traffic"], [{"at": 9.0, "kind": "config_change", "how": "route"}], [], closing)
    write_store_pairs(out, base)
    write_drawn_pairs(out, base, int(sys.argv[3]) if len(sys.argv) > 3 else 0)


main()
