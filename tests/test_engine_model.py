import random
import unittest

from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.prefix_cache import BLOCK_TOKENS, PrefixCacheIndex

CHUNK_STEP_S = 0.064


def make_model(slots=16, step_s=0.004):
    return EngineModel(slots=slots, step_s=step_s, prefill_tokens_per_s=8000.0)


def true_step_s(concurrency, factor=1.0):
    return factor * (0.005 + 0.0002 * concurrency)


def report_steps(model, *, count, prefill_share, factor=1.0, seed=1):
    """Report steps of an engine, of which ``prefill_share`` contain prefill."""
    draw = random.Random(seed)
    for _ in range(count):
        running = draw.randint(4, 15)
        step_s = true_step_s(running, factor)
        if draw.random() < prefill_share:
            step_s += factor * CHUNK_STEP_S
        model.observe_report(step_s=step_s, running=running)


class StepTest(unittest.TestCase):
    def test_cold_model_predicts_by_the_declaration_with_zero_confidence(self):
        model = make_model()
        self.assertAlmostEqual(model.step_s(1), 0.004, places=6)
        self.assertAlmostEqual(model.prefill_s(8000), 1.0)
        self.assertEqual(model.confidence(), 0.0)

    def test_prefill_between_steps_does_not_count_as_slow_steps(self):
        # Guards against refusals of requests that engines could serve. Two thirds of the reported
        # steps contain a chunk of another prompt and take 13 times an ordinary step; a mean would
        # make the engine 9 times too slow. The low end of the samples is the clean step.
        model = make_model()
        report_steps(model, count=200, prefill_share=0.66)
        for concurrency in (4, 15):
            self.assertAlmostEqual(model.step_s(concurrency) / true_step_s(concurrency), 1.0, delta=0.12)

    def test_seconds_of_one_long_prompt_do_not_make_an_engine_slow(self):
        # A prompt of 16,000 tokens keeps every reported step long for two seconds. An engine
        # judged slow by that gets no work, and requests that it could finish are refused.
        model = make_model()
        report_steps(model, count=100, prefill_share=0.3)
        report_steps(model, count=25, prefill_share=1.0)
        self.assertLess(model.step_s(10), 1.5 * true_step_s(10))

    def test_straggler_is_detected_within_a_window(self):
        model = make_model()
        report_steps(model, count=100, prefill_share=0.3)
        report_steps(model, count=80, prefill_share=0.3, factor=5.0)
        self.assertAlmostEqual(model.step_s(10) / true_step_s(10, 5.0), 1.0, delta=0.25)
        report_steps(model, count=80, prefill_share=0.3)
        self.assertAlmostEqual(model.step_s(10) / true_step_s(10), 1.0, delta=0.25)

    def test_five_known_clean_steps_show_a_straggler(self):
        model = make_model()
        for _ in range(20):
            model.observe_report(step_s=true_step_s(10), running=10, prefilling=False)
        for _ in range(6):
            model.observe_report(step_s=true_step_s(10, 5.0), running=10, prefilling=False)
            model.observe_report(step_s=CHUNK_STEP_S, running=10, prefilling=True)
        self.assertAlmostEqual(model.step_s(10) / true_step_s(10, 5.0), 1.0, delta=0.15)

    def test_step_stays_positive_and_bounded_for_any_samples(self):
        # A line extrapolated below its points once gave steps of 1e71 seconds.
        model = make_model()
        draw = random.Random(7)
        for _ in range(2000):
            model.observe_report(step_s=draw.choice((0.0001, 0.004, 0.5, 5.0)), running=draw.randint(1, 40))
            for concurrency in (1, 16):
                self.assertGreater(model.step_s(concurrency), 1e-6)
                self.assertLess(model.step_s(concurrency), 60.0)
            self.assertIn(model.concurrency_limit(), range(1, 17))


class PredictionTest(unittest.TestCase):
    def test_token_interval_includes_other_prompts_prefill(self):
        model = make_model()
        for _ in range(200):
            model.observe_finish(output_tokens=100, decode_s=100 * 2.0 * model.step_s(10), mean_concurrency=10)
        self.assertAlmostEqual(model.token_interval_s(10) / model.step_s(10), 2.0, delta=0.1)
        report_steps(model, count=30, prefill_share=0.0)
        self.assertGreater(model.confidence(), 0.9)

    def test_prefill_rate_counts_what_the_engine_prefills_first(self):
        model = make_model()
        for _ in range(100):
            first_token_s = 3000 / 4000.0 + 7 * model.step_s(8)
            model.observe_first_token(
                first_token_s=first_token_s, uncached_tokens=1000, concurrency=8, pending_prefill_tokens=2000
            )
        self.assertAlmostEqual(model.prefill_s(4000), 1.0, delta=0.1)

    def test_limit_is_the_saturation_concurrency(self):
        flat = make_model()
        self.assertEqual(flat.concurrency_limit(), 15)
        for _ in range(300):
            for running in (2, 8, 14):
                flat.observe_report(step_s=0.001 + 0.004 * running, running=running, prefilling=False)
        self.assertLess(flat.concurrency_limit(), 15)


class PrefixCacheTest(unittest.TestCase):
    def test_leading_blocks_are_evicted_last(self):
        cache = PrefixCacheIndex(capacity_tokens=3 * BLOCK_TOKENS)
        cache.stored((1, 2, 3, 4))
        self.assertEqual(cache.cached_tokens((1, 2, 3, 4)), 3 * BLOCK_TOKENS)
        cache.removed((2,))
        self.assertEqual(cache.cached_tokens((1, 2, 3, 4)), BLOCK_TOKENS)
        cache.clear()
        self.assertEqual(cache.cached_tokens((1,)), 0)

    def test_blocks_of_different_sizes_count_by_their_tokens(self):
        # Callers declare the parts of a prompt with their sizes: short instructions shared by all requests and a
        # conversation of five thousand tokens. Counted as blocks of one size, the conversation would count too little.
        cache = PrefixCacheIndex(capacity_tokens=6000)
        cache.stored((1, 2), (500, 4870))
        self.assertEqual(cache.cached_tokens((1, 2, 3)), 5370)
        cache.stored((1, 4), (500, 900))
        self.assertEqual(cache.cached_tokens((1, 4)), 1400)
        self.assertEqual(cache.cached_tokens((1, 2)), 500)
        cache.stored((1, 4), (500, 900))
        cache.removed((1,))
        cache.stored((5,), (5100,))
        self.assertEqual(cache.cached_tokens((5,)), 5100)
        self.assertEqual(cache.cached_tokens((4,)), 900)
