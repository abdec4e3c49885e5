"""Steps for idempotency keys and the key-value service."""

from behave import then, when

from features.support.caller import post
from features.support.processes import http_json, wait_for
from features.support.sending import send


def _key(key):
    return {"Idempotency-Key": key}


@when('two identical requests with key "{key}" are sent to both boxes at once')
def send_twins(context, key):
    for box in ("box-1", "box-2"):
        send(context, "clause question", "twin", box, 8, _key(key))
        context.calls[box] = context.calls.pop("twin")


@then("one of the two is whole and the other is refused with status 409")
def one_whole(context):
    answers = [context.calls[box].result() for box in ("box-1", "box-2")]
    assert sorted(a.status for a in answers) == [200, 409], answers
    assert any(a.done and a.outcome == "completed" for a in answers), answers


@when('question "{name}" with key "{key}" of {tokens:d} tokens goes to {box}')
def send_keyed(context, name, key, tokens, box):
    send(context, "clause question", name, box, tokens, _key(key))


@when('question "{name}" with key "{key}" that may be repeated goes to {box}')
def send_keyed_repeatable(context, name, key, box):
    headers = {**_key(key), "Gladedrum-May-Repeat": "yes"}
    send(context, "clause question", name, box, 8, headers)


@when('{box} is asked "{name}" with key "{key}" for {tokens:d} tokens until it accepts it')
def send_until_accepted(context, name, key, tokens, box):
    def accepted():
        send(context, "clause question", name, box, tokens, _key(key))
        return context.calls[name].result().status == 200

    wait_for("the key to be free", accepted)


@when('question "{name}" with {seconds:d} seconds goes to {box}')
def send_with_time(context, name, seconds, box):
    send(context, "clause question", name, box, 8, {"Gladedrum-Timeout": str(seconds)})


@then('"{name}" is refused as {code}')
def refused_as(context, name, code):
    answer = context.calls[name].result()
    assert answer.error.get("code") == code, answer
    assert answer.headers["gladedrum-outcome"] != "not-run"


@when("the next {count:d} answers of the key-value service are lost")
def lose_answers(context, count):
    context.fleet.store.switch(lose_answers=count)


@when("the key-value service is down")
def outage(context):
    context.fleet.store.switch(outage=True)


@when("the key-value service is up again")
def end_outage(context):
    context.fleet.store.switch(outage=False)


@when("the service loses its answers")
def service_loses(context):
    context.fleet.services["echo-1"].switch(lose_answers=True)


@when("the service answers again")
def service_answers(context):
    context.fleet.services["echo-1"].switch(lose_answers=False)


def _order(context, key, box):
    port = context.fleet.boxes[box].port("callers")
    return post(port, "/services/echo/orders", {"frame": 1}, _key(key))


@then('an order with key "{key}" through {box} ends as {outcome}')
def order_ends(context, key, box, outcome):
    answer = _order(context, key, box)
    assert answer.outcome == outcome, answer


@then('an order with key "{key}" through {box} is refused as {code}')
def order_refused(context, key, box, code):
    answer = _order(context, key, box)
    assert answer.error["code"] == code, answer


@then("the service ran {count:d} call")
def service_ran(context, count):
    calls = http_json("GET", f"{context.fleet.services['echo-1'].url}/record")["calls"]
    assert len(calls) == count, calls


@when("both engines accept requests and never respond")
def make_engines_silent(context):
    for engine in context.fleet.engines.values():
        engine.switch(silent=True)
