"""HTTP interface for callers: completions, chat completions, models and plain services."""

import itertools
import secrets
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from klein import Klein
from twisted.internet import defer
from twisted.web.http import NO_BODY_CODES
from twisted.web.server import Request

from ..claims import Claims
from ..config import Item, Settings
from ..errors import Finding
from ..outcome import Completed, NotRun, Outcome, Unknown
from ..peers import Membership
from ..table import Table
from ..targets import BYTES_PER_TOKEN, ServiceReply, estimate_tokens, prefix_digests
from ..utils import start
from .idempotency import AskRunning, Duplicate, KeyedRequest, run_once
from .requests import (
    IDEMPOTENCY_HEADER,
    MAY_REPEAT_HEADER,
    ORGANISATION_HEADER,
    TIMEOUT_HEADER,
    BadRequestError,
    CompletionRequest,
    RequestKind,
    parse_completion,
)
from .responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    BufferedSink,
    StreamSink,
    finish_duplicate,
    finish_json,
    finish_outcome,
    finish_with_findings,
)
from .run import CompletionRun, RunContext
from .services import ServiceCall, ServiceRouter, no_such_service
from .unmarked import finish_by_close, wait_until_written

__all__ = ["API_KEYS", "CALLER_HOST", "CALLER_PORT", "IDENTIFY_BY", "CallerRoutes"]

CALLER_HOST = Item("entry", "host", "127.0.0.1", "The IP number on which callers are served.")
CALLER_PORT = Item(
    "entry", "port", 8080, "The TCP port for callers; 0 lets the system choose.",
    minimum=0, maximum=65_535,
)  # fmt: skip
IDENTIFY_BY = Item(
    "entry", "identify_by", "header",
    "How the organisation is known: by the Gladedrum-Organisation header, or by API key.",
    choices=("header", "api_key"),
)  # fmt: skip
API_KEYS = Item("entry", "api_keys", (), "The API keys, each as KEY:ORGANISATION.", secret=True)

ANONYMOUS = "anonymous"
"""Organisation of callers that send no organisation header."""

_DEFAULT_SERVICE_TIMEOUT_S = 30.0
_DRAIN_RETRY_AFTER_S = 1.0

_MAX_RECORDING_S = 5.0
"""Maximum time that a stop waits for outcomes of claimed requests to be recorded, in seconds. A
claim without a recorded outcome stays in doubt until it expires. A healthy store takes
milliseconds."""


class CallerRoutes:
    """The HTTP routes for callers.

    Parameters
    ----------
    cfg : Settings
        Source of the ``[entry]`` settings.
    ctx : RunContext
        State common to all runs.
    membership : Membership
        The known models and services.
    services : ServiceRouter
        Forwards service calls.
    claims : Claims
        Claims on idempotency keys.
    ask_running : callable
        Asks other boxes for their running requests; see `AskRunning`.
    table : callable
        Returns the current table of weights and limits.
    """

    app = Klein()

    def __init__(
        self,
        cfg: Settings,
        ctx: RunContext,
        membership: Membership,
        services: ServiceRouter,
        claims: Claims,
        ask_running: AskRunning,
        table: Callable[[], Table],
    ):
        self._ctx = ctx
        self._membership = membership
        self._services = services
        self._claims = claims
        self._ask_running = ask_running
        self._table = table
        self._bytes_per_token = cfg.get(BYTES_PER_TOKEN)
        self._by_api_key = cfg.get(IDENTIFY_BY) == "api_key"
        pairs = (pair.partition(":") for pair in cfg.get(API_KEYS))
        self._organisations = {key: organisation for key, _, organisation in pairs}
        self._request_numbers = itertools.count(1)
        # Random, so that a restarted box of the same name does not reuse request ids.
        self._id_prefix = f"{ctx.box}-{secrets.token_hex(4)}"
        self._draining = False
        self._in_flight: set[defer.Deferred] = set()
        self._drained: defer.Deferred[None] | None = None

    def drain(self) -> defer.Deferred[None]:
        """Accept no new requests; fires once those in flight have ended and are recorded."""
        self._draining = True
        self._drained = defer.Deferred() if self._in_flight else defer.succeed(None)
        return self._drained.addCallback(
            lambda _none: self._claims.wait_until_recorded(_MAX_RECORDING_S)
        )

    @app.route("/v1/completions", methods=["POST"])
    def completions(self, request: Request):
        """Complete a prompt."""
        return self._complete(request, RequestKind.COMPLETION)

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat_completions(self, request: Request):
        """Continue a chat."""
        return self._complete(request, RequestKind.CHAT)

    @app.route("/v1/models", methods=["GET"])
    def models(self, request: Request):
        """List the models that at least one target serves."""
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gladedrum"}
            for name in self._membership.directory.models()
        ]
        finish_json(request, HTTPStatus.OK, {"object": "list", "data": rows})

    @app.route("/services/<service>/", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    @app.route("/services/<service>/<path:path>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    def service(self, request: Request, service: str, path: str = ""):
        """Forward a call to a plain service."""
        request_id = self._new_id()
        if self._refuse_if_draining(request, request_id):
            return None
        if not self._services.knows(service):
            finish_outcome(request, request_id, no_such_service(service))
            return None
        call = ServiceCall(
            request_id=request_id,
            service=service,
            method=request.method.decode(),
            path=path,
            query=request.uri.partition(b"?")[2].decode("latin-1"),
            content_type=_header(request, "content-type") or "application/octet-stream",
            body=request.content.read(),
            timeout_s=_seconds(_header(request, TIMEOUT_HEADER), _DEFAULT_SERVICE_TIMEOUT_S),
            may_repeat=_header(request, MAY_REPEAT_HEADER) == "yes",
            traceparent=_header(request, "traceparent") or "",
        )
        return self._track(start(self._call_service(request, call)))

    @app.route("/", branch=True)
    def unknown(self, request: Request):
        """Respond with status 404."""
        path = request.path.decode("latin-1")
        finding = Finding("path", f"there is nothing at {request.method.decode()} {path}")
        status = HTTPStatus.NOT_FOUND
        finish_with_findings(request, self._new_id(), status, [finding], "not_found")
        return

    def _complete(self, request: Request, kind: str):
        request_id = self._new_id()
        if self._refuse_if_draining(request, request_id):
            return None
        organisation = self._organisation(request)
        if organisation is None:
            finding = Finding("header authorization", "holds no known API key")
            status = HTTPStatus.UNAUTHORIZED
            finish_with_findings(request, request_id, status, [finding], "invalid_api_key")
            return None
        try:
            raw = request.content.read()
            headers = lambda name: _header(request, name)  # noqa: E731
            req = parse_completion(kind, raw, headers, organisation)
        except BadRequestError as exc:
            status = HTTPStatus.BAD_REQUEST
            finish_with_findings(request, request_id, status, exc.findings, None)
            return None
        prompt = req.prompt.encode()
        prompt_tokens = estimate_tokens(len(prompt), self._bytes_per_token)
        if self._refuse_if_impossible(request, request_id, req, prompt_tokens):
            return None
        prefix = prefix_digests(prompt, self._bytes_per_token)
        return self._start_run(request, request_id, req, prompt_tokens, prefix)

    def _start_run(
        self,
        request: Request,
        request_id: str,
        req: CompletionRequest,
        prompt_tokens: int,
        prefix: tuple[int, ...],
    ) -> defer.Deferred[None]:
        params = self._table().effective(req.organisation, req.request_class)
        sink_type = StreamSink if req.stream else BufferedSink
        sink = sink_type(request, request_id, req, prompt_tokens)
        run = CompletionRun(self._ctx, request_id, req, prompt_tokens, prefix, params, sink)

        async def finish(outcome: Outcome) -> None:
            written = sink.finish(outcome, run.offset)
            await wait_until_written(request, self._ctx.clock, written)

        async def serve() -> None:
            if not req.idempotency_key:
                await finish(await run.run())
                return
            body = f"{req.model}\0{req.max_tokens}\0{req.prompt}".encode()
            keyed = KeyedRequest(req.organisation, req.idempotency_key, body, request_id)
            result = await self._run_once(keyed, run.run)
            if isinstance(result, Duplicate):
                finish_duplicate(request, request_id, result)
            else:
                await finish(result)

        return self._track(start(serve()))

    def _refuse_if_impossible(
        self, request: Request, request_id: str, req: CompletionRequest, prompt_tokens: int
    ) -> bool:
        """Refuse a request that no target can serve; return True if it was refused."""
        if not self._membership.directory_read:
            outcome = NotRun("the list of targets is not known yet")
            finish_outcome(request, request_id, outcome)
            return True
        if req.model not in self._membership.directory.models():
            finding = Finding("model", f"there is no model {req.model!r}")
            status = HTTPStatus.NOT_FOUND
            finish_with_findings(request, request_id, status, [finding], "model_not_found")
            return True
        policy = self._table().effective(req.organisation, req.request_class).name("policy")
        if not self._ctx.placer.can_ever_fit(req.model, policy, prompt_tokens, req.max_tokens):
            message = (
                f"about {prompt_tokens} tokens and {req.max_tokens} for the answer are more "
                f"than the policy {policy} can place on the targets of the model"
            )
            finding = Finding("messages" if req.kind == RequestKind.CHAT else "prompt", message)
            status = HTTPStatus.BAD_REQUEST
            code = "context_length_exceeded"
            finish_with_findings(request, request_id, status, [finding], code)
            return True
        return False

    async def _call_service(self, request: Request, call: ServiceCall) -> None:
        reply: list[ServiceReply] = []

        async def run() -> Outcome:
            result = await self._services.call(call)
            if not isinstance(result, ServiceReply):
                return result
            reply.append(result)
            if result.is_shown_whole:
                return Completed()
            return Unknown("the service answered, but nothing shows the end of its answer")

        organisation = self._organisation(request)
        key = _header(request, IDEMPOTENCY_HEADER)
        if key and organisation is not None:
            body = f"{call.service}\0{call.method}\0{call.path}\0".encode() + call.body
            keyed = KeyedRequest(organisation, key, body, call.request_id)
            outcome = await self._run_once(keyed, run)
        else:
            outcome = await run()
        if isinstance(outcome, Duplicate):
            finish_duplicate(request, call.request_id, outcome)
        elif reply:
            await self._finish_service(request, call, reply[0])
        else:
            finish_outcome(request, call.request_id, outcome)

    async def _run_once(
        self, keyed: KeyedRequest, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome | Duplicate:
        # Other boxes ask for this id, to find out whether the claim on the key is orphaned.
        self._ctx.own_sessions.add(keyed.request_id)
        try:
            return await run_once(self._claims, keyed, run, self._ask_running)
        finally:
            self._ctx.own_sessions.discard(keyed.request_id)

    async def _finish_service(
        self, request: Request, call: ServiceCall, reply: ServiceReply
    ) -> None:
        if request._disconnected:
            return
        request.setResponseCode(reply.status)
        request.setHeader(REQUEST_ID_HEADER, call.request_id.encode())
        for name, value in reply.headers.items():
            request.setHeader(name.encode(), value.encode("latin-1"))
        if not reply.is_shown_whole:
            # No outcome is named, as it is not known whether the service has sent all.
            await finish_by_close(request, self._ctx.clock, reply.body)
            return
        request.setHeader(OUTCOME_HEADER, b"completed")
        if call.method != "HEAD" and reply.status not in NO_BODY_CODES:
            # Callers of HTTP/1.0 know no chunks, and a close shows no end.
            request.setHeader(b"content-length", b"%d" % len(reply.body))
        request.write(reply.body)
        request.finish()

    def _track(self, run: defer.Deferred[None]) -> defer.Deferred[None]:
        """Track a run until it ends; Klein cancels it if the caller disconnects."""
        self._in_flight.add(run)

        def ended(result: object) -> object:
            self._in_flight.discard(run)
            if not self._in_flight and self._drained is not None and not self._drained.called:
                self._drained.callback(None)
            return result

        run.addBoth(ended)
        return run.addErrback(_ignore_cancelled)

    def _refuse_if_draining(self, request: Request, request_id: str) -> bool:
        if not self._draining:
            return False
        request.setHeader(b"connection", b"close")
        outcome = NotRun("this box is about to stop", _DRAIN_RETRY_AFTER_S)
        finish_outcome(request, request_id, outcome)
        return True

    def _organisation(self, request: Request) -> str | None:
        if not self._by_api_key:
            return _header(request, ORGANISATION_HEADER) or ANONYMOUS
        scheme, _, key = (_header(request, "authorization") or "").partition(" ")
        return self._organisations.get(key) if scheme.lower() == "bearer" else None

    def _new_id(self) -> str:
        return f"{self._id_prefix}-{next(self._request_numbers)}"


def _header(request: Request, name: str) -> str | None:
    value = request.getHeader(name)
    return value if value is None or isinstance(value, str) else value.decode("latin-1")


def _seconds(text: str | None, default_s: float) -> float:
    try:
        seconds = float(text) if text else default_s
    except ValueError:
        return default_s
    return seconds if 0 < seconds < float("inf") else default_s


def _ignore_cancelled(failure) -> None:
    failure.trap(defer.CancelledError)
