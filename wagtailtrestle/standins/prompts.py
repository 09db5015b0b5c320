"""How the stand-in engine reads a prompt: its text, its tokens, its prefix blocks, its answer."""

import hashlib

BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = 64
BYTES_PER_BLOCK = BYTES_PER_TOKEN * TOKENS_PER_BLOCK
HASH_BYTES = 8
DIGEST_CHARACTERS = 6


def prompt_text(body) -> str:
    """Join the text of a chat's messages, or of a completion's prompt."""
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
    """Short digest of a prompt, part of every token of its answer."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


def token_text(key, index) -> str:
    """Text of the token at ``index`` (from 1) of the answer to the prompt with this key.

    The same prompt gives the same answer on every engine, so a test can tell whether a
    caller got its own answer, whole, even when a second engine wrote its end.
    """
    return f"{key}.{index} "


def whole_answer(text, output_tokens) -> str:
    """Text of the whole answer to a prompt."""
    key = answer_key(text)
    return "".join(token_text(key, index) for index in range(1, output_tokens + 1))
