"""Token count and prefix hashes of a prompt, computed as engines do; the results contain no prompt text.

Engines count four bytes of prompt text as one token and cache complete blocks of 64
tokens; see the engine's HTTP interface in docs/design/architecture.md.
"""

import hashlib

from wagtailtrestle.record import record

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
HASH_BYTES = 8
# Blocks sent to a scheduler: a common prefix of 16 × 64 tokens distinguishes engines as well as four
# times that (docs/design/membership.md), and a request stays under 300 bytes on the link between routers.
MAX_BLOCKS = 16


@record
class PromptShape:
    """Estimated tokens of a prompt and the chained hashes of its leading blocks."""

    tokens: int
    prefix_blocks: tuple = ()


def chat_text(messages: list) -> str:
    """Return the concatenated text of all messages; parts that are not text are ignored."""
    pieces = []
    for message in messages:
        content = message.get("content")
        if isinstance(content, str):
            pieces.append(content)
        elif isinstance(content, list):
            pieces.extend(_part_texts(content))
    return "".join(pieces)


def _part_texts(parts):
    for part in parts:
        text = part.get("text") if isinstance(part, dict) else None
        if isinstance(text, str):
            yield text


def shape_of(text: str) -> PromptShape:
    """Return the shape of a prompt given as text."""
    data = text.encode("utf-8", "surrogatepass")
    tokens = -(-len(data) // BYTES_PER_TOKEN)
    return PromptShape(tokens=tokens, prefix_blocks=prefix_blocks(data))


def prefix_blocks(data: bytes) -> tuple:
    """Return chained 64-bit hashes of the complete blocks at the start of a prompt, at most ``MAX_BLOCKS``."""
    blocks = []
    previous = b""
    n_blocks = min(len(data) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(n_blocks):
        block = data[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = hashlib.sha256(previous + block).digest()[:HASH_BYTES]
        blocks.append(int.from_bytes(previous, "big"))
    return tuple(blocks)
