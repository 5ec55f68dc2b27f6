"""The verdict on a run, and the runs of a plan."""

import pathlib
import subprocess
import tempfile
import unittest

import landing

GOOD = """\
quiet-1                 59/0   0.40  0.560  0.934   0.028  0.001  nines 0.52
GATE passed
"""
BROKEN = """\
scale-1                 83/0   0.00  0.346  0.651   0.192  0.117  worst windows 0.21  BROKEN: QUOTA 1 (else 0.77)
GATE failed: scale-1: QUOTA broken
"""


class Landing(unittest.TestCase):
    """What a run says and what a plan asks for."""

    def test_a_run_without_broken_rules_is_good(self):
        self.assertEqual(landing.verdict(GOOD, 0), (True, ["GATE passed"]))

    def test_a_broken_rule_a_failed_gate_and_an_exit_code_are_bad(self):
        good, lines = landing.verdict(BROKEN, 0)
        self.assertFalse(good)
        self.assertEqual(len(lines), 2)
        self.assertFalse(landing.verdict(GOOD, 1)[0])
        self.assertEqual(landing.verdict("", 2), (False, ["exit 2"]))

    def test_a_plan_names_each_run_once(self):
        plan = {"run": [{"site": "/s/a.toml", "score": True, "hunt": 8, "sweep": 300, "days": ["d/x.toml"], "jobs": 2}]}
        names = [name for name, _ in landing.runs_of(plan)]
        self.assertEqual(names, ["a-score", "a-hunt", "a-sweep", "a-x"])

    def test_runs_of_one_name_are_refused(self):
        plan = {"run": [{"site": "/s/a.toml", "score": True}, {"site": "/t/a.toml", "score": True}]}
        with self.assertRaises(ValueError):
            list(landing.runs_of(plan))

    def test_what_a_changed_tree_printed_is_not_taken_for_the_next_ones(self):
        with tempfile.TemporaryDirectory() as folder:
            out = pathlib.Path(folder)
            (out / "a.txt").write_text("of an earlier tree")
            (out / "a.exit").write_text("0")
            again = landing.play("echo", out, "why", "a", ["played"], reuse=False)
            self.assertEqual(again, ("played --why why\n", 0))
            self.assertEqual(landing.play("false", out, "why", "a", []), again)

    def test_entries_of_the_journal_do_not_change_the_tree(self):
        with tempfile.TemporaryDirectory() as folder:
            def git(*arguments):
                author = ["-c", "user.name=a", "-c", "user.email=a@example"]
                subprocess.run(["git", "-C", folder, *author, *arguments], capture_output=True, check=True)

            code, journal = pathlib.Path(folder, "code"), pathlib.Path(folder, "journal")
            journal.mkdir()
            code.write_text("one")
            git("init")
            git("add", ".")
            git("commit", "-m", "one")
            (journal / "entry.json").write_text("{}")
            git("add", ".")
            self.assertFalse(landing.commit(folder).endswith(landing.CHANGED))
            code.write_text("two")
            self.assertTrue(landing.commit(folder).endswith(landing.CHANGED))

    def test_a_run_that_was_killed_is_made_again(self):
        with tempfile.TemporaryDirectory() as folder:
            out = pathlib.Path(folder)
            killed = landing.play("/bin/sh", out, "why", "a", ["-c", "kill -9 $$"])
            self.assertEqual(killed[1], -9)
            self.assertEqual(landing.play("true", out, "why", "a", []), ("", 0))


if __name__ == "__main__":
    unittest.main()
