"""Choice of the cell, a group of engines under one scheduler, for a request."""

import hashlib

from wagtailtrestle.record import record


@record
class CellDigest:
    """Summary of a cell for the choice between cells.

    Parameters
    ----------
    free : int
        Number of free slots.
    waiting_by_tier : dict of int to int
    lowest_tier : int or None
        Rank of the lowest tier with a waiting or running request.
    """

    free: int
    waiting_by_tier: dict
    lowest_tier: int | None


def cells_of(declaration, service):
    """Names of the cells that serve ``service``, sorted."""
    engines = declaration.engines_by_name.values()
    return sorted({engine.cell for engine in engines if engine.service == service})


def choose_cell(*, cells, prefix_blocks, request_id):
    """Choose a cell by rendezvous hashing (highest random weight).

    Requests with the same first prefix block get the same cell; a request without a complete block
    is spread by its id. Returns ``None`` when the service has no cell.
    """
    if not cells:
        return None
    if len(cells) == 1:
        return cells[0]
    affinity = str(prefix_blocks[0]) if prefix_blocks else request_id
    return max(cells, key=lambda cell: _weight(cell, affinity))


def _weight(cell, affinity):
    return hashlib.blake2b(f"{cell}\n{affinity}".encode(), digest_size=8).digest()
