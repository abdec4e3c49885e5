"""Steps that send requests and check the responses."""

import http.client
import json
import socket

import openai
from behave import then, when

from features.support.caller import (
    expected_answer,
    post,
)
from features.support.fleet import MODEL
from features.support.processes import http_json, wait_for
from features.support.sending import send


@when('a {kind} "{name}" is sent to {box}')
def send_one(context, kind, name, box):
    send(context, kind, name, box)


@when('a {kind} "{name}" for {tokens:d} tokens is sent to {box}')
def send_tokens(context, kind, name, tokens, box):
    send(context, kind, name, box, tokens)


@when('"{name}" has its first token')
def first_token(context, name):
    context.calls[name].wait_first_token()


@then('"{name}" is whole')
def whole(context, name):
    call = context.calls[name]
    answer = call.result()
    assert answer.outcome == "completed", answer
    assert answer.done, answer
    assert answer.text == expected_answer(call.prompt, call.max_tokens), answer
    assert answer.headers["gladedrum-request-id"]


@then('"{name}" ends as {outcome} with status {status:d}')
def ends(context, name, outcome, status):
    answer = context.calls[name].result()
    assert (answer.outcome, answer.status) == (outcome, status), answer
    assert not answer.done


@when("the openai client streams a chat and a completion from {box}")
def openai_streams(context, box):
    port = context.fleet.boxes[box].port("callers")
    client = openai.OpenAI(base_url=f"http://127.0.0.1:{port}/v1", api_key="none", max_retries=0)
    chat = client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "hello"}], max_tokens=5, stream=True
    )
    deltas = [c.choices[0].delta.content for c in chat if c.choices]
    completion = client.completions.create(model=MODEL, prompt="hello", max_tokens=5, stream=True)
    texts = [c.choices[0].text for c in completion if c.choices]
    whole = client.completions.create(model=MODEL, prompt="hello", max_tokens=5)
    context.openai = (deltas, texts, whole.choices[0].text)


@then("the openai client has both answers whole")
def openai_whole(context):
    deltas, texts, whole = context.openai
    assert "".join(texts) == whole == expected_answer("hello", 5)
    assert len(deltas) == 5


@when("{box} is sent each of these wrong requests")
def wrong_requests(context, box):
    port = context.fleet.boxes[box].port("callers")
    context.wrong = []
    for row in context.table:
        headers = json.loads(row["headers"] or "{}")
        answer = post(port, "/v1/completions", row["body"].encode(), headers)
        context.wrong.append((row, answer))


@then("each is refused with its status and a place")
def refused(context):
    for row, answer in context.wrong:
        assert answer.status == int(row["status"]), (row, answer)
        assert row["place"] in answer.error["message"], (row, answer)
        assert answer.outcome == "failed", answer
        assert answer.error["type"] == "invalid_request_error"


@then('a call to the service "{service}" through {box} runs once')
def service_call(context, service, box):
    port = context.fleet.boxes[box].port("callers")
    answer = post(port, f"/services/{service}/orders?x=1", {"frame": 1})
    assert answer.outcome == "completed", answer
    assert json.loads(answer.text)["ran"] == 1, answer


@when('the caller of "{name}" hangs up')
def hang_up(context, name):
    context.calls[name].hang_up()


@when('a {kind} "{name}" for {tokens:d} tokens that may be repeated is sent to {box}')
def send_repeatable(context, kind, name, tokens, box):
    send(context, kind, name, box, tokens, {"Gladedrum-May-Repeat": "yes"})


def _send_many(context, count, headers):
    boxes = list(context.fleet.boxes)
    for number in range(count):
        box = boxes[number % len(boxes)]
        send(context, "clause question", f"many-{number}", box, 8, headers)
    return [context.calls[f"many-{number}"] for number in range(count)]


@then("no new session reaches it from {count:d} clause questions")
def none_reaches(context, count):
    engine = context.fleet.engines[context.leaving]
    before = http_json("GET", f"{engine.url}/runs")["runs"]
    for call in _send_many(context, count, {}):
        assert call.result().outcome == "completed"
    assert http_json("GET", f"{engine.url}/runs")["runs"] == before


@then("{count:d} clause questions that may be repeated all complete")
def all_complete(context, count):
    for call in _send_many(context, count, {"Gladedrum-May-Repeat": "yes"}):
        answer = call.result()
        assert answer.outcome == "completed" and answer.done, answer
        assert answer.text == expected_answer(call.prompt, call.max_tokens), answer


@when("{count:d} clause questions are sent in turn")
def sent_in_turn(context, count):
    for call in _send_many(context, count, {}):
        assert call.result().outcome == "completed"


@then("one trace has the spans entry, place and target, and an owner span of another box")
def one_trace(context):
    wait_for("a trace over two boxes", lambda: any(map(_has_all_hops, _traces(context).values())))


def _traces(context):
    """Return the spans of each trace as pairs of name and box."""
    traces = {}
    for path in context.fleet.path.glob("*.traces"):
        for line in path.read_text().splitlines():
            span = json.loads(line)
            box = span["resource"]["attributes"]["service.instance.id"]
            traces.setdefault(span["context"]["trace_id"], []).append((span["name"], box))
    return traces


def _has_all_hops(spans):
    """Whether a trace has a span for each hop, with the owner on another box than the entry."""
    boxes = dict(spans)
    hops = {"entry", "place", "target", "owner"}
    return hops <= boxes.keys() and boxes["owner"] != boxes["entry"]


def _raw(context, box, body, length):
    """Send a body that may be shorter than its declared length; return status and error."""
    port = context.fleet.boxes[box].port("callers")
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=30) as conn:
        conn.sendall(head.encode() + body)
        response = http.client.HTTPResponse(conn)
        response.begin()
        return response.status, json.loads(response.read())["error"]


@when("a body of {size:d} bytes is sent to {box}")
def large_body(context, size, box):
    context.raw = _raw(context, box, b"x" * size, size)


@when("an incomplete body is sent to {box}")
def stalled_body(context, box):
    context.raw = _raw(context, box, b"{", 100)


@then("it is answered with status {status:d} and a place")
def raw_answer(context, status):
    assert context.raw[0] == status, context.raw
    assert context.raw[1]["param"] == "body", context.raw
