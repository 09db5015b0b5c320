"""Estimated contents of an engine's bounded prefix cache."""

from collections import OrderedDict

BLOCK_TOKENS = 64
"""Default size of a prefix block; the engines' cache events use the same blocks."""


class PrefixCacheIndex:
    """Least-recently-used model of one engine's prefix cache.

    Cache events arrive late and with gaps, so the index is mainly updated by grants,
    and corrected by cache events and by the cached tokens that runs report.

    Parameters
    ----------
    capacity_tokens : int
        Assumed capacity of the engine's cache.
    """

    __slots__ = ("_capacity", "_held_tokens", "_tokens_by_block")

    def __init__(self, *, capacity_tokens):
        self._capacity = capacity_tokens
        self._held_tokens = 0
        self._tokens_by_block = OrderedDict()

    def cached_tokens(self, prefix_blocks):
        """Tokens of the longest leading part of the prefix that is estimated to be cached."""
        held = 0
        for block in prefix_blocks:
            tokens = self._tokens_by_block.get(block)
            if tokens is None:
                break
            held += tokens
        return held

    def stored(self, prefix_blocks, block_tokens=()):
        """Record that the engine computed or used these blocks, from the start of the prompt on.

        Parameters
        ----------
        prefix_blocks : tuple of int
        block_tokens : tuple of int
            Tokens of each block; by default ``BLOCK_TOKENS``.
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
        """Record that the engine evicted these blocks."""
        for block in blocks:
            self._held_tokens -= self._tokens_by_block.pop(block, 0)

    def clear(self):
        """Remove all blocks, after a restart of the engine."""
        self._tokens_by_block.clear()
        self._held_tokens = 0

    def __contains__(self, block):
        return block in self._tokens_by_block

    def __len__(self):
        return len(self._tokens_by_block)
