"""One quantity measured at several sizes, with a least-squares line through the points."""

import json


class Slope:
    """One quantity measured at three or more sizes.

    Parameters
    ----------
    role : str
        Role in docs/CAPACITY.md that the figure belongs to.
    quantity : str
        What was measured, with its unit.
    against : str
        Quantity that the sizes count.
    points : sequence of (float, float)
        Size and value.
    """

    __slots__ = ("role", "quantity", "against", "points")

    def __init__(self, *, role, quantity, against, points):
        self.role = role
        self.quantity = quantity
        self.against = against
        self.points = tuple(points)

    def fit(self):
        """Return the least-squares slope and the fitted value at size 0."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        return slope, mean_y - slope * mean_x

    def print(self):
        """Print the points and the fit as one JSON line."""
        slope, at_zero = self.fit()
        print(
            json.dumps(
                {
                    "role": self.role,
                    "quantity": self.quantity,
                    "against": self.against,
                    "points": [[x, round(y, 4)] for x, y in self.points],
                    "slope": float(f"{slope:.4g}"),
                    "at_zero": float(f"{at_zero:.4g}"),
                }
            ),
            flush=True,
        )
