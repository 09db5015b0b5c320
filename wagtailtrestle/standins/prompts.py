"""Prompts in the stand-in engine: text, token count, prefix blocks, and the text of the answer."""

import hashlib

BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = 64
BYTES_PER_BLOCK = BYTES_PER_TOKEN * TOKENS_PER_BLOCK
HASH_BYTES = 8
DIGEST_CHARACTERS = 6


def prompt_text(body) -> str:
    """Return the joined text of a chat's messages, or of a completion's prompt."""
    if "messages" in body:
        return "".join(_content_text(message.get("content")) for message in body["messages"])
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else "".join(str(part) for part in prompt)


def _content_text(content) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def count_tokens(text) -> int:
    """Count the tokens of a text, rounded up."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_blocks(text) -> tuple:
    """Hash each full block of 64 tokens, chained to the blocks before it (64-bit integers)."""
    data = text.encode()
    previous = b""
    blocks = []
    for start in range(0, len(data) - BYTES_PER_BLOCK + 1, BYTES_PER_BLOCK):
        previous = hashlib.sha256(previous + data[start : start + BYTES_PER_BLOCK]).digest()[:HASH_BYTES]
        blocks.append(int.from_bytes(previous, "big"))
    return tuple(blocks)


def answer_key(text) -> str:
    """Return a short digest of a prompt, which is part of every token of its answer."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


def token_text(key, index) -> str:
    """Return the text of the token at ``index`` (from 1) of the answer to the prompt with this key.

    The same prompt gives the same answer on every engine, so a test can check that a
    caller got its own, complete answer, even if a second engine generated the last part.
    """
    return f"{key}.{index} "


def complete_answer(text, output_tokens) -> str:
    """Return the text of the complete answer to a prompt."""
    key = answer_key(text)
    return "".join(token_text(key, index) for index in range(1, output_tokens + 1))
