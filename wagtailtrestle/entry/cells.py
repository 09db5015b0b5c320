"""Choice of the cell, a group of engines under one scheduler, that a request asks."""

import hashlib

from wagtailtrestle.record import record


@record
class CellDigest:
    """Summary of a cell by which entries choose between cells.

    Parameters
    ----------
    free : int
        Places free now.
    waiting_by_tier : dict of int to int
    lowest_tier : int or None
        Rank of the lowest tier that waits or runs here.
    """

    free: int
    waiting_by_tier: dict
    lowest_tier: int | None


def cells_of(declaration, service):
    """Names of the cells that serve ``service``, sorted."""
    engines = declaration.engines_by_name.values()
    return sorted({engine.cell for engine in engines if engine.service == service})


def choose_cell(*, cells, prefix_blocks, request_id):
    """Pick a cell by highest random weight, so that equal prompt prefixes meet.

    A request without a whole prefix block is spread by its own id. Returns ``None``
    when the service has no cell.
    """
    if not cells:
        return None
    if len(cells) == 1:
        return cells[0]
    affinity = str(prefix_blocks[0]) if prefix_blocks else request_id
    return max(cells, key=lambda cell: _weight(cell, affinity))


def _weight(cell, affinity):
    return hashlib.blake2b(f"{cell}\n{affinity}".encode(), digest_size=8).digest()
