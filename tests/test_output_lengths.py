"""Expected lengths under a load whose caps are no indication of the answers' lengths.

All requests of a kind have the same cap, few answers reach it, and the mean is a tenth of it; callers' estimates
are right at the median and off by a factor of about two. Judged by the caps, the work is overestimated tenfold, and
callers get ten times too long a Retry-After. Figures: caps of 1,710, 1,200 and 510 tokens, means of 171, 120 and 51.
"""

import random
import unittest

from tests.utils.scheduler_fakes import ask
from wagtailtrestle.engines.output_lengths import OutputLengths

CAP = 1710
MEAN = 171


class OutputLengthsTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(7)
        self.lengths = OutputLengths()

    def length(self):
        """A length with a long tail and the mean ``MEAN``."""
        return max(3, min(CAP, round(MEAN * self.random.lognormvariate(-0.6, 1.1))))

    def observe(self, count, *, team="club", hint=lambda length: 0):
        for number in range(count):
            length = self.length()
            request = ask(f"r{number}", team=team, tier=2, output_tokens=CAP, hinted_tokens=hint(length))
            self.lengths.observe(request=request, asked_tokens=CAP, output_tokens=length)

    def expected(self, *, team="club", hinted_tokens=0, **changes):
        request = ask("new", team=team, tier=2, output_tokens=CAP, hinted_tokens=hinted_tokens, **changes)
        return self.lengths.expect(request).output_tokens

    def test_cap_is_expected_without_answers(self):
        self.assertEqual(self.expected(), CAP)

    def test_expected_length_drops_after_thirty_answers(self):
        self.observe(30)
        self.assertLess(self.expected(), 3 * MEAN)

    def test_new_team_starts_from_the_mean_of_its_tier(self):
        # Learned per team alone, a flood from a new team would be judged by its caps for its whole duration.
        self.observe(30)
        self.assertLess(self.expected(team="guests"), 3 * MEAN)

    def test_estimate_is_used_before_any_answer(self):
        self.assertEqual(self.expected(hinted_tokens=60), 60)

    def test_biased_estimates_are_corrected(self):
        self.observe(60, hint=lambda length: 2 * length)
        self.assertAlmostEqual(self.expected(hinted_tokens=200), 100, delta=25)

    def test_estimate_is_limited_to_the_cap(self):
        self.assertEqual(self.expected(hinted_tokens=10 * CAP), CAP)

    def test_tokens_received_already_are_subtracted(self):
        self.assertEqual(self.expected(hinted_tokens=100, done_tokens=90), 10)
        self.assertEqual(self.expected(hinted_tokens=100, done_tokens=190), 1)


if __name__ == "__main__":
    unittest.main()
