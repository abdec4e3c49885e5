"""``gladedrumctl try``: sends a long prompt and, while it runs, a short one."""

import argparse

from twisted.internet import defer

from ..replay import Caller, CallRecord
from ..utils import WebClient, sleep, start
from .command import Command, ExitCode, print_json, print_table

__all__ = ["COMMANDS"]

_BYTES_PER_TOKEN = 4
_HEAD_START_S = 0.5
"""How long before the short prompt the long one is sent."""

_TIMEOUT_S = 120.0


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add(
        "--callers",
        default="http://127.0.0.1:8080",
        metavar="URL",
        help="callers' address of a box",
    )
    add("--model", default="standin", help="model that the requests name")
    add("--short-tokens", type=int, default=1_000, help="length of the short prompt")
    add("--long-tokens", type=int, default=60_000, help="length of the long prompt")
    add("--answer-tokens", type=int, default=32, help="length of the answers")


async def _run(args: argparse.Namespace, reactor) -> ExitCode:
    caller = Caller(args.callers, WebClient(reactor), reactor)

    def send(kind: str, tokens: int) -> defer.Deferred[CallRecord]:
        prompt = (f"{kind} prompt " * tokens)[: tokens * _BYTES_PER_TOKEN]
        headers = {"gladedrum-class": kind}
        answer = caller.complete(args.model, prompt, args.answer_tokens, headers, _TIMEOUT_S)
        return start(answer)

    long_call = send("long", args.long_tokens)
    await sleep(reactor, _HEAD_START_S)
    short_call = send("short", args.short_tokens)
    records = {"short": await short_call, "long": await long_call}
    _print(args, records)
    all_completed = all(record.outcome == "completed" for record in records.values())
    return ExitCode.OK if all_completed else ExitCode.FAILED


def _print(args: argparse.Namespace, records: dict[str, CallRecord]) -> None:
    if args.json:
        print_json({kind: record._asdict() for kind, record in records.items()})
        return
    lengths = {"short": args.short_tokens, "long": args.long_tokens}
    print_table(
        ["PROMPT", "TOKENS", "OUTCOME", "FIRST TOKEN S", "WHOLE ANSWER S", "ANSWER TOKENS"],
        [
            [kind, lengths[kind], r.outcome, r.first_token_s, r.total_s, r.answer_tokens]
            for kind, r in records.items()
        ],
    )


COMMANDS = [
    Command("try", "Send a long prompt and, while it runs, a short one.", _add_arguments, _run),
]
"""The commands of this module."""
