import pickle
import unittest

from wagtailtrestle.record import record


@record
class Slot:
    """A record class."""

    engine: str
    slot: int = 0


@record
class OtherRecord:
    """Another record class with the same fields."""

    engine: str
    slot: int = 0


class RecordTest(unittest.TestCase):
    def test_equal_by_type_and_fields(self):
        self.assertEqual(Slot(engine="a"), Slot(engine="a", slot=0))
        self.assertNotEqual(Slot(engine="a"), Slot(engine="b"))
        self.assertNotEqual(Slot(engine="a"), OtherRecord(engine="a"))
        self.assertEqual(len({Slot(engine="a"), Slot(engine="a"), OtherRecord(engine="a")}), 2)

    def test_fields_are_named_and_no_others_exist(self):
        with self.assertRaises(TypeError):
            Slot("a")
        with self.assertRaises(AttributeError):
            Slot(engine="a").other = 1

    def test_shown_by_its_fields(self):
        self.assertEqual(repr(Slot(engine="a", slot=2)), "Slot(engine='a', slot=2)")

    def test_matched_and_copied(self):
        match pickle.loads(pickle.dumps(Slot(engine="a", slot=3))):
            case Slot(slot=slot):
                self.assertEqual(slot, 3)


if __name__ == "__main__":
    unittest.main()
