import pickle
import unittest

from wagtailtrestle.record import record


@record
class Place:
    """A record."""

    engine: str
    slot: int = 0


@record
class Turn:
    """One with the same fields."""

    engine: str
    slot: int = 0


class RecordTest(unittest.TestCase):
    def test_equal_by_type_and_fields(self):
        self.assertEqual(Place(engine="a"), Place(engine="a", slot=0))
        self.assertNotEqual(Place(engine="a"), Place(engine="b"))
        self.assertNotEqual(Place(engine="a"), Turn(engine="a"))
        self.assertEqual(len({Place(engine="a"), Place(engine="a"), Turn(engine="a")}), 2)

    def test_fields_are_named_and_no_others_exist(self):
        with self.assertRaises(TypeError):
            Place("a")
        with self.assertRaises(AttributeError):
            Place(engine="a").other = 1

    def test_shown_by_its_fields(self):
        self.assertEqual(repr(Place(engine="a", slot=2)), "Place(engine='a', slot=2)")

    def test_matched_and_copied(self):
        match pickle.loads(pickle.dumps(Place(engine="a", slot=3))):
            case Place(slot=slot):
                self.assertEqual(slot, 3)


if __name__ == "__main__":
    unittest.main()
