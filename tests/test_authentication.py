import unittest

from tests.utils.callers import CHAT, HIGH_KEY, LOW_KEY, declaration
from wagtailtrestle.callers.authentication import KeyIndex, KeyProof, authenticate, bearer_key, team_of_key
from wagtailtrestle.callers.route_match import RouteMatch, match_language, match_plain, path_error, services_of
from wagtailtrestle.contracts.outcomes import Reason, Refusal


class TestKeys(unittest.TestCase):
    def setUp(self):
        self.index = KeyIndex(declaration=declaration())

    def test_a_key_names_its_team(self):
        self.assertEqual(authenticate(header=f"Bearer {HIGH_KEY}", index=self.index).name, "members")
        self.assertEqual(authenticate(header=f"bearer  {LOW_KEY} ", index=self.index).name, "logbook")

    def test_missing_and_unknown_keys_get_the_same_answer(self):
        headers = (
            "",
            "Bearer",
            "Bearer ",
            f"Basic {HIGH_KEY}",
            "Bearer unknown",
            f"Bearer {HIGH_KEY}x",
            "Bearer ñ\udcff",
        )
        answers = {authenticate(header=header, index=self.index) for header in headers}
        self.assertEqual([answer.reason for answer in answers], [Reason.UNAUTHENTICATED])

    def test_overlong_key_is_not_hashed(self):
        self.assertIsNone(bearer_key("Bearer " + "k" * 10_000))

    def test_the_digest_itself_is_no_key(self):
        known = declaration().teams_by_name["members"].key_sha256[0]
        self.assertIsInstance(authenticate(header=f"Bearer {known}", index=self.index), Refusal)


class TestProvedKeys(unittest.TestCase):
    def answer(self, key, *, age_s, limit_s=4.5):
        index = KeyIndex(declaration=declaration())
        return team_of_key(key=key, index=index, proof=KeyProof(age_s=age_s, limit_s=limit_s), hint="Send a key.")

    def test_a_proved_key_names_its_team(self):
        self.assertEqual(self.answer(HIGH_KEY, age_s=4.4).name, "members")

    def test_without_a_proof_no_key_is_judged(self):
        # The router has no connection to the platform. A key that it doesn't know may be new, and one that
        # it knows may be revoked: a 401 for a new key would be wrong, and callers don't retry it.
        for key in (HIGH_KEY, "unknown", ""):
            for age_s in (4.5, None):
                with self.subTest(key=key, age_s=age_s):
                    self.assertEqual(self.answer(key, age_s=age_s).reason, Reason.KEYS_STALE)

    def test_missing_and_unknown_keys_are_refused_with_a_fresh_proof(self):
        for key in ("unknown", ""):
            answer = self.answer(key, age_s=0.1)
            self.assertEqual((answer.reason, answer.detail), (Reason.UNAUTHENTICATED, "Send a key."))

    def test_keys_are_accepted_if_no_proof_is_required(self):
        self.assertEqual(self.answer(HIGH_KEY, age_s=None, limit_s=0.0).name, "members")


class TestRoutes(unittest.TestCase):
    def setUp(self):
        self.declared = declaration()

    def chat(self, team="members", model="asistente", route="", tier="", path=CHAT):
        return match_language(
            declaration=self.declared,
            team=self.declared.teams_by_name[team],
            path=path,
            model=model,
            route_name=route,
            tier_name=tier,
        )

    def plain(self, method, path, team="members"):
        return match_plain(
            declaration=self.declared,
            team=self.declared.teams_by_name[team],
            method=method,
            path=path,
            route_name="",
            tier_name="",
        )

    def test_the_first_route_the_team_may_use_is_its_default(self):
        self.assertEqual(self.chat().route.name, "question")
        self.assertEqual(self.chat(team="logbook").route.name, "tagging")

    def test_a_caller_may_lower_its_tier_and_never_raise_it(self):
        self.assertEqual(self.chat(route="tagging").tier.name, "tagging")
        self.assertEqual(self.chat(tier="tagging").tier.name, "tagging")
        for raised in (
            self.chat(route="urgent"),
            self.chat(tier="booking"),
            self.chat(route="tagging", tier="question"),
        ):
            self.assertEqual((raised.status, raised.reason), (403, Reason.FORBIDDEN))

    def test_a_route_of_another_team_or_path_is_not_chosen(self):
        for refused in (self.chat(team="logbook", route="question"), self.chat(route="text"), self.chat(route="none")):
            self.assertEqual(refused.reason, Reason.FORBIDDEN)

    def test_unknown_services_paths_methods_and_tiers_get_different_statuses(self):
        self.assertEqual(self.chat(model="other").status, 404)
        self.assertEqual(self.chat(model="reservas").status, 404)
        self.assertEqual(self.chat(tier="none").status, 400)
        self.assertEqual(self.plain("GET", "/asistente/slots").status, 404)
        self.assertEqual(self.plain("GET", "/reservas/other").status, 404)
        self.assertEqual(self.plain("DELETE", "/reservas/slots").status, 405)
        self.assertEqual(self.plain("POST", "/reservas/bookings", team="logbook").status, 403)

    def test_plain_prefixes_match_whole_segments(self):
        self.assertEqual(self.plain("GET", "/reservas/slots/3/day").route.name, "slots")
        self.assertIsInstance(self.plain("GET", "/reservas/slotsx"), Refusal)
        self.assertIsInstance(self.plain("GET", "/reservas/slots/"), RouteMatch)

    def test_a_path_that_resolves_to_another_call_is_refused(self):
        # A caller requests /slots/../bookings: matched as slots it would be repeatable, but the
        # service resolves it to a booking, and a retry would charge twice. So any path that
        # may be resolved in different ways is refused before it is matched.
        for path in (
            "/reservas/slots/../bookings",
            "/reservas/./slots",
            "/reservas//slots",
            "/reservas/slots%2F..%2fbookings",
        ):
            self.assertIsNotNone(path_error(path), path)
            self.assertEqual(self.plain("GET", path).status, 400, path)

    def test_a_team_sees_the_services_it_may_use(self):
        names = [s.name for s in services_of(declaration=self.declared, team=self.declared.teams_by_name["logbook"])]
        self.assertEqual(names, ["asistente"])
