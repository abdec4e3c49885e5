"""Sending of a scenario's requests."""

from .caller import CLAUSE_TOKENS, DOSSIER_TOKENS, LONG_DOSSIER_TOKENS, Call, prompt_of

# Prompt lengths by kind: a clause question is a short prompt, a dossier is a long one.
_PROMPT_TOKENS = {
    "clause question": CLAUSE_TOKENS,
    "dossier": DOSSIER_TOKENS,
    "half-memory dossier": 250_000,
    "long dossier": LONG_DOSSIER_TOKENS,
    "huge dossier": 760_000,
}


def send(context, kind, name, box, max_tokens=8, headers=None, read=True):
    """Send a prompt of a kind; requests with the same idempotency key have the same prompt."""
    port = context.fleet.boxes[context.aliases.get(box, box)].port("callers")
    label = (headers or {}).get("Idempotency-Key", name)
    prompt = prompt_of(_PROMPT_TOKENS[kind], label)
    context.calls[name] = Call(port, prompt, max_tokens, headers, read)
