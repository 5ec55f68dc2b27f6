"""The account and the comparison, on lines as a day prints them."""

import unittest

import account
import compare
import report

DAY = """\
day                  own/srv  score  worth served refused failed  weakest part
scale-1                 71/0   1.00  0.532  0.724   0.191  0.034  worst class 0.50; prices 0.135, most for worth refused again

  -0.0327  3444.042 machine-seconds
  -0.0570  19716.0 worth refused again
  --0.0000  -0.0 worth broken off midway
     0.6724 side-a-1 {"at_ms":10671,"node":"side-a-1","event":"request","service":"w1","key":23728,"outcome":"full","detail":"full"}
     0.9000 side-a-1 {"at_ms":10900,"node":"side-a-1","event":"request","service":"w1","key":23728,"outcome":"full","detail":"full"}
     3.1000 side-a-2 {"at_ms":13100,"node":"side-a-2","event":"request","service":"w2","outcome":"full","detail":"link_busy"}
     3.2000 side-a-2 {"at_ms":13200,"node":"side-a-2","event":"request","service":"w2","outcome":"answered","detail":""}
     4.0000 side-a-2 {"at_ms":14000,"node":"side-a-2","event":"lines_left_out","count":7}
     4.1000 side-a-2 {"at_ms":14000,"node":"side-a-2","event":"cut off}
on the wire today: tal is w1, docs is w2
"""
BROKEN = DAY.replace("0.532", "0.467").replace("most for worth refused again", "most for worth  BROKEN: EVAC 3 (else 1.00)")


class Account(unittest.TestCase):
    """What an account says of a day."""

    def test_a_day_is_read(self):
        self.assertEqual(report.worth_of(DAY), (0.532, ""))
        self.assertEqual(report.worth_of(BROKEN), (0.467, "EVAC 3 (else 1.00)"))
        self.assertIsNone(report.worth_of("nothing was built"))
        self.assertEqual([what for _, what in report.prices_of(DAY)], ["worth refused again", "machine-seconds"])

    def test_refusals_are_told_by_span_service_and_reason(self):
        lines = list(account.account(DAY, 2.0))
        self.assertIn("   0 s  2 tal full full", lines)
        self.assertIn("   2 s  1 docs full link_busy", lines)
        self.assertIn("key 23728 of tal: 2", lines)
        self.assertIn("5 log lines, 1 unreadable; 7 about requests left out by their nodes", lines)


class Comparison(unittest.TestCase):
    """What a comparison says of two plays of the same days."""

    def test_pairs_have_a_mean_and_a_spread(self):
        lines, good = compare.table(["a", "b"], [(0.5, ""), (0.6, "")], [(0.54, ""), (0.62, "")])
        self.assertTrue(good)
        self.assertIn("| a | 0.500 | 0.540 | +0.040 |", lines)
        self.assertIn("\n2 pairs: mean +0.030, spread 0.014: more than the spread", lines)

    def test_a_broken_rule_or_a_day_that_was_not_played_is_no_success(self):
        self.assertFalse(compare.table(["a"], [(0.5, "")], [report.worth_of(BROKEN)])[1])
        self.assertFalse(compare.table(["a"], [(0.5, "")], [None])[1])


if __name__ == "__main__":
    unittest.main()
