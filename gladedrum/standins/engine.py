"""Stand-in for a model engine: `engine_core` behind an OpenAI-compatible HTTP interface.

Besides ``POST /v1/completions`` it lists, resumes and cancels sessions, exports and imports
KV cache blocks, and loads and unloads models. Its load reports lag, and its cache events can be
late or missing. The orders that load and unload models carry a fencing token (``fence``); an order
with a lower one than an earlier order is refused. ``POST /switches`` injects failures while it
runs.
"""

import argparse
import hashlib
import json
from dataclasses import dataclass, fields

from klein import Klein
from twisted.internet import defer, reactor, task
from twisted.web.http import Request

from ..utils import LostAnswerError, NotSentError, WebClient
from ._http import json_body, json_reply, run_standin
from .engine_core import BLOCK_TOKENS, EngineCore, EngineSpec, MemoryFullError, Session, StepOutput

__all__ = ["Engine", "Switches", "answer_token"]

BYTES_PER_TOKEN = 4
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
_DONE = b"data: [DONE]\n\n"
_ANSWER_RETENTION_S = 30.0


@dataclass
class Switches:
    """Failures that can be injected.

    Parameters
    ----------
    refuse : bool
        Answer every new request with 503 and state that it did not start.
    break_after_tokens : int
        Abort a stream after this number of tokens; 0 disables it.
    crossed : bool
        Send every token under another request's id.
    silent : bool
        Accept requests and never answer.
    load_factor : float
        Factor on reported loads; 1 reports the true load.
    load_lag_s : float
        Age of the reported load, in seconds.
    cache_lag : int
        Number of the newest cache events that are not yet reported.
    cache_gap : int
        Omit one of every `cache_gap` cache events; 0 omits none.
    check_fence : bool
        Refuse an order whose fence is lower than the highest one seen.
    """

    refuse: bool = False
    break_after_tokens: int = 0
    crossed: bool = False
    silent: bool = False
    load_factor: float = 1.0
    load_lag_s: float = 0.5
    cache_lag: int = 0
    cache_gap: int = 0
    check_fence: bool = True

    def update(self, changes: dict[str, object]) -> None:
        """Set the switches named in `changes`; ignore unknown names."""
        known = {f.name for f in fields(self)}
        for name in known & changes.keys():
            setattr(self, name, changes[name])


def answer_token(seed: str, offset: int) -> str:
    """Return the answer's token at `offset`, derived from the prompt's hash `seed`.

    A prompt has the same answer on every engine, so a test can compare a resumed answer with an
    uninterrupted one.
    """
    return f" {seed[:6]}.{offset}"


@dataclass
class _Answer:
    """The answer of a session, kept for some time after its end so that it can be resumed."""

    session: Session
    prompt: str
    seed: str
    buffered: bool
    listener: Request | None = None
    produced: int = 0
    sent: int = 0
    is_complete: bool = False

    def listen(self, request: Request) -> None:
        """Send all further tokens to `request`."""
        self.listener = request
        request.notifyFinish().addBoth(self._on_disconnect, request)

    def _on_disconnect(self, _result: object, request: Request) -> None:
        if self.listener is request:
            self.listener = None


class Engine:
    """Serves an `EngineCore` over HTTP.

    Parameters
    ----------
    spec : EngineSpec
        Size and speed.
    models : tuple of str
        Models loaded initially.
    clock : IReactorTime, optional
        Source of time; the reactor by default.
    """

    app = Klein()

    def __init__(self, spec: EngineSpec, models: tuple[str, ...] = ("standin",), clock=reactor):
        self.core = EngineCore(spec)
        self.models = set(models)
        self.switches = Switches()
        self.fence = 0
        self.orders: list[dict] = []
        self.runs: list[str] = []
        self.exports: dict[str, dict] = {}
        self._clock = clock
        self._web = WebClient(reactor)
        self._answers: dict[str, _Answer] = {}
        self._step_call = None
        self._load_samples: list[tuple[float, dict]] = []
        self._sampler = task.LoopingCall(self._sample_load)
        self._sampler.clock = clock
        self._sampler.start(0.1)

    def stop(self) -> None:
        """Cancel every timer."""
        if self._sampler.running:
            self._sampler.stop()
        if self._step_call is not None and self._step_call.active():
            self._step_call.cancel()

    # Requests.

    @app.route("/v1/completions", methods=["POST"])
    async def completions(self, request: Request):
        """Run a prompt; stream server-sent events, or one JSON body if ``stream`` is false.

        With ``context``, the prompt continues segments that other engines hold. With
        ``session.hold``, the engine only prefills the prompt and keeps it in memory while the
        stream stays open.
        """
        body = json_body(request)
        if self.switches.refuse:
            return json_reply(request, {"error": "refused", "started": False}, 503)
        if body.get("model") not in self.models:
            return json_reply(request, {"error": "model not loaded", "started": False}, 404)
        try:
            context = await self._read_context(body.get("context", []))
        except (NotSentError, LostAnswerError, KeyError) as exc:
            return json_reply(request, {"error": f"context: {exc!r}", "started": False}, 409)
        prompt = context + body["prompt"]
        session = _make_session(body, body["prompt"])
        if session.session_id in self.core.sessions:
            return json_reply(request, {"error": "session exists", "started": False}, 409)
        try:
            self.core.submit(session)
        except MemoryFullError as exc:
            return json_reply(request, {"error": str(exc), "started": False}, 413)
        self.runs.append(session.session_id)
        seed = hashlib.sha256(prompt.encode()).hexdigest()
        buffered = not body.get("stream", False)
        answer = _Answer(session, prompt, seed, buffered, produced=session.offset)
        self._answers[session.session_id] = answer
        answer.listen(request)
        if not buffered:
            _start_stream(request)
        self._schedule_step()
        return await defer.Deferred()

    @app.route("/sessions/<session_id>/context", methods=["GET"])
    def read_context(self, request: Request, session_id: str) -> bytes:
        """Return the text of a held segment and all segments before it."""
        answer = self._answers.get(session_id)
        if answer is None or not answer.session.is_held:
            return json_reply(request, {"error": "no such held session"}, 404)
        return json_reply(request, {"text": answer.prompt})

    @app.route("/sessions/<session_id>/stream", methods=["GET"])
    def resume(self, request: Request, session_id: str):
        """Stream a session's answer from ``offset`` on; tokens already produced come at once."""
        answer = self._answers.get(session_id)
        if answer is None:
            return json_reply(request, {"error": "no such session", "started": False}, 404)
        offset = int(request.args.get(b"offset", [b"0"])[0])
        answer.buffered = False
        answer.listen(request)
        _start_stream(request)
        for position in range(offset, answer.produced):
            last = answer.is_complete and position == answer.produced - 1
            self._write(answer, StepOutput(answer.session, position, last))
        return defer.Deferred()

    @app.route("/sessions", methods=["GET"])
    def list_sessions(self, request: Request) -> bytes:
        """List the sessions with their ids, owners and progress."""
        rows = [
            {
                "id": s.session_id,
                "owner": s.owner,
                "memory_tokens": s.memory_tokens,
                "running": s.running,
                "emitted": s.emitted,
            }
            for s in self.core.sessions.values()
        ]
        return json_reply(request, {"sessions": rows})

    @app.route("/sessions/<session_id>", methods=["DELETE"])
    def cancel_session(self, request: Request, session_id: str) -> bytes:
        """Cancel a session; the answer states whether it existed."""
        found = self.core.cancel(session_id)
        answer = self._answers.pop(session_id, None)
        if answer is not None and answer.listener is not None:
            answer.listener.transport.loseConnection()
        return json_reply(request, {"cancelled": found, "started": session_id in self.runs})

    @app.route("/runs", methods=["GET"])
    def list_runs(self, request: Request) -> bytes:
        """List the ids of all sessions started so far, for tests."""
        return json_reply(request, {"runs": self.runs})

    # Load, cache events, KV cache, orders.

    @app.route("/load", methods=["GET"])
    def load(self, request: Request) -> bytes:
        """Return the load as it was `load_lag_s` seconds ago."""
        visible_until_s = self._clock.seconds() - self.switches.load_lag_s
        known = [load for at_s, load in self._load_samples if at_s <= visible_until_s]
        return json_reply(request, known[-1] if known else self._current_load())

    @app.route("/cache/events", methods=["GET"])
    def cache_events(self, request: Request) -> bytes:
        """Return cache events from sequence number ``since`` on, subject to the switches."""
        since = int(request.args.get(b"since", [b"0"])[0])
        end = len(self.core.cache_log) - self.switches.cache_lag
        gap = self.switches.cache_gap
        rows = [
            {"seq": seq, "kind": kind, "block": block}
            for seq, (kind, block) in enumerate(self.core.cache_log[: max(0, end)])
            if seq >= since and not (gap and seq % gap == gap - 1)
        ]
        return json_reply(request, {"events": rows, "next": max(0, end)})

    @app.route("/kv/export", methods=["POST"])
    def export_kv(self, request: Request) -> bytes:
        """Export those of the named blocks that are cached, under an id and an owner."""
        body = json_body(request)
        blocks = [b for b in body["blocks"] if b in self.core.cache]
        self.exports[body["id"]] = {"blocks": blocks, "owner": body.get("owner", "")}
        return json_reply(request, {"blocks": blocks})

    @app.route("/kv/import", methods=["POST"])
    def import_kv(self, request: Request) -> bytes:
        """Add blocks of another engine's export to the cache."""
        for block in json_body(request)["blocks"]:
            self.core.cache[block] = None
        return json_reply(request, {"cached_blocks": len(self.core.cache)})

    @app.route("/kv/exports/<export_id>", methods=["DELETE"])
    def drop_export(self, request: Request, export_id: str) -> bytes:
        """Free an export."""
        return json_reply(request, {"dropped": self.exports.pop(export_id, None) is not None})

    @app.route("/orders", methods=["POST"])
    def order(self, request: Request) -> bytes:
        """Load or unload a model, unless the order's fence is stale."""
        body = json_body(request)
        if self.switches.check_fence and body["fence"] < self.fence:
            return json_reply(request, {"error": "stale fence", "fence": self.fence}, 409)
        self.fence = max(self.fence, body["fence"])
        self.orders.append(body)
        change = self.models.add if body["kind"] == "load" else self.models.discard
        change(body["model"])
        return json_reply(request, {"models": sorted(self.models)})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Change failure switches."""
        self.switches.update(json_body(request))
        return json_reply(request, vars(self.switches))

    async def _read_context(self, segments: list[dict]) -> str:
        """Return the text of all earlier segments.

        A real engine reads the segments' KV cache. Here the text takes its place, and each
        segment returns its own text with that of the segments before it.
        """
        text = ""
        for segment in segments:
            url = f"{segment['url']}/sessions/{segment['session_id']}/context"
            reply = await self._web.call_json("GET", url)
            text = reply.body["text"]
        return text

    # Load samples and engine steps.

    def _current_load(self) -> dict:
        factor = self.switches.load_factor
        return {
            "free_tokens": int(self.core.free_tokens * factor),
            "memory_tokens": self.core.spec.memory_tokens,
            "sessions": len(self.core.sessions),
            "queued_prefill_tokens": int(self.core.queued_prefill_tokens * factor),
            "models": sorted(self.models),
        }

    def _sample_load(self) -> None:
        now_s = self._clock.seconds()
        self._load_samples.append((now_s, self._current_load()))
        oldest_s = now_s - max(10.0, self.switches.load_lag_s)
        while self._load_samples[0][0] < oldest_s:
            self._load_samples.pop(0)

    def _schedule_step(self) -> None:
        if self._step_call is not None and self._step_call.active():
            return
        step = self.core.begin_step()
        if step is not None:
            duration_s, chunks = step
            self._step_call = self._clock.callLater(duration_s, self._finish_step, chunks)

    def _finish_step(self, chunks: list[tuple[Session, int]]) -> None:
        for output in self.core.finish_step(chunks):
            self._deliver(output)
        self._schedule_step()

    def _deliver(self, output: StepOutput) -> None:
        answer = self._answers.get(output.session.session_id)
        if answer is None:
            return
        if output.held:
            if answer.listener is not None:
                event = {"id": output.session.session_id, "held": True}
                answer.listener.write(b"data: " + json.dumps(event).encode() + b"\n\n")
            return
        answer.produced = output.offset + 1
        answer.is_complete = output.last
        if output.last:
            self._clock.callLater(
                _ANSWER_RETENTION_S, self._answers.pop, output.session.session_id, None
            )
        if self.switches.silent or answer.listener is None:
            return
        if answer.buffered:
            if output.last:
                _send_buffered(answer)
            return
        self._write(answer, output)

    def _write(self, answer: _Answer, output: StepOutput) -> None:
        if answer.listener is None:
            return
        answer.sent += 1
        answer.listener.write(_encode_event(answer, output, self.switches.crossed))
        if self.switches.break_after_tokens and answer.sent >= self.switches.break_after_tokens:
            answer.listener.transport.abortConnection()
            answer.listener = None
        elif output.last:
            answer.listener.write(_DONE)
            answer.listener.finish()


def _start_stream(request: Request) -> None:
    request.setHeader(b"content-type", b"text/event-stream")
    request.write(b": started\n\n")


def _send_buffered(answer: _Answer) -> None:
    tokens = range(answer.session.offset, answer.produced)
    text = "".join(answer_token(answer.seed, n) for n in tokens)
    body = {"id": answer.session.session_id, "choices": [{"text": text, "index": 0}]}
    answer.listener.write(json_reply(answer.listener, body))
    answer.listener.finish()


def _make_session(body: dict, prompt: str) -> Session:
    raw = prompt.encode()
    ends = range(_BLOCK_BYTES, len(raw) + 1, _BLOCK_BYTES)
    digest = hashlib.sha256()
    blocks = []
    for end in ends:
        digest.update(raw[end - _BLOCK_BYTES : end])
        blocks.append(int.from_bytes(digest.digest()[:8], "big"))
    session_fields = body.get("session", {})
    return Session(
        session_id=session_fields.get("id") or f"anonymous-{id(body)}",
        prompt_tokens=max(1, -(-len(raw) // BYTES_PER_TOKEN)),
        output_tokens=0 if session_fields.get("hold") else max(1, int(body.get("max_tokens", 16))),
        priority=int(body.get("priority", 0)),
        blocks=tuple(blocks),
        offset=int(session_fields.get("offset", 0)),
        owner=session_fields.get("owner", ""),
        start=int(session_fields.get("start", 0)),
        hold=bool(session_fields.get("hold", False)),
    )


def _encode_event(answer: _Answer, output: StepOutput, crossed: bool) -> bytes:
    choice = {
        "text": answer_token(answer.seed, output.offset),
        "index": 0,
        "finish_reason": "length" if output.last else None,
    }
    name = "someone-else" if crossed else output.session.session_id
    body = {"id": name, "offset": output.offset, "choices": [choice]}
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    spec = EngineSpec()
    for name, default in spec._asdict().items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(default), default=default, help=f"default {default}")
    parser.add_argument("--model", action="append", help="a loaded model; may be repeated")


def _make(args: argparse.Namespace) -> Engine:
    spec = EngineSpec(**{name: getattr(args, name) for name in EngineSpec._fields})
    return Engine(spec, tuple(args.model or ["standin"]))


if __name__ == "__main__":
    run_standin("A stand-in for a model engine.", _add_arguments, _make)
