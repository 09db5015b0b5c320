"""Which prompt prefixes an engine is believed to hold in its bounded cache."""

from collections import OrderedDict

BLOCK_TOKENS = 64
"""Tokens of a prefix block of the usual size; the engines' cache events count in the same blocks."""


class PrefixCacheIndex:
    """Least-recently-used guess at one engine's prefix cache.

    Cache events come late and with gaps, so the index is fed mainly by what was
    granted there and corrected by events and by the cached tokens a run reported.

    Parameters
    ----------
    capacity_tokens : int
        Tokens that the engine is believed to hold.
    """

    __slots__ = ("_capacity", "_held_tokens", "_tokens_by_block")

    def __init__(self, *, capacity_tokens):
        self._capacity = capacity_tokens
        self._held_tokens = 0
        self._tokens_by_block = OrderedDict()

    def cached_tokens(self, prefix_blocks):
        """Tokens of the longest leading part of the prefix believed to be held."""
        held = 0
        for block in prefix_blocks:
            tokens = self._tokens_by_block.get(block)
            if tokens is None:
                break
            held += tokens
        return held

    def stored(self, prefix_blocks, block_tokens=()):
        """Note that the engine computed or used these blocks, oldest first.

        Parameters
        ----------
        prefix_blocks : tuple of int
        block_tokens : tuple of int
            Tokens of each; of the usual size if left out.
        """
        sizes = block_tokens or (BLOCK_TOKENS,) * len(prefix_blocks)
        for block, tokens in reversed(tuple(zip(prefix_blocks, sizes, strict=False))):
            self._held_tokens += tokens - self._tokens_by_block.get(block, 0)
            self._tokens_by_block[block] = tokens
            self._tokens_by_block.move_to_end(block)
        while self._held_tokens > self._capacity:
            _, tokens = self._tokens_by_block.popitem(last=False)
            self._held_tokens -= tokens

    def removed(self, blocks):
        """Note that the engine dropped these blocks."""
        for block in blocks:
            self._held_tokens -= self._tokens_by_block.pop(block, 0)

    def clear(self):
        """Forget everything (the engine restarted)."""
        self._tokens_by_block.clear()
        self._held_tokens = 0

    def __contains__(self, block):
        return block in self._tokens_by_block

    def __len__(self):
        return len(self._tokens_by_block)
