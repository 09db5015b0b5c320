"""Which prompt prefixes an engine is believed to hold in its bounded cache."""

from collections import OrderedDict

BLOCK_TOKENS = 64
"""Tokens of one prefix block; the engines' cache events count in the same blocks."""


class PrefixCacheIndex:
    """Least-recently-used guess at one engine's prefix cache.

    Cache events come late and with gaps, so the index is fed mainly by what was
    granted there and corrected by events and by the cached tokens a run reported.

    Parameters
    ----------
    capacity_blocks : int
        Number of blocks the engine is believed to hold.
    """

    __slots__ = ("_capacity", "_blocks")

    def __init__(self, *, capacity_blocks):
        self._capacity = capacity_blocks
        self._blocks = OrderedDict()

    def cached_tokens(self, prefix_blocks):
        """Tokens of the longest leading part of the prefix believed to be held."""
        held = 0
        for block in prefix_blocks:
            if block not in self._blocks:
                break
            held += 1
        return held * BLOCK_TOKENS

    def stored(self, prefix_blocks):
        """Note that the engine computed or used these blocks, oldest first."""
        for block in reversed(prefix_blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def removed(self, blocks):
        """Note that the engine dropped these blocks."""
        for block in blocks:
            self._blocks.pop(block, None)

    def clear(self):
        """Forget everything (the engine restarted)."""
        self._blocks.clear()

    def __len__(self):
        return len(self._blocks)
