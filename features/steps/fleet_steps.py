"""Steps that start, stop and disturb the processes of the fleet."""

import json
import signal

from behave import given, then, when

from features.support.processes import http_json, wait_for

_SIGNALS = {"SIGTERM": signal.SIGTERM, "SIGSTOP": signal.SIGSTOP, "SIGCONT": signal.SIGCONT}


@given("a fleet of {boxes:d} boxes and {engines:d} engines")
def start_fleet(context, boxes, engines):
    fleet = context.fleet
    fleet.start_platform()
    for number in range(1, engines + 1):
        fleet.start_engine(f"engine-{number}")
    fleet.start_service("echo-1")
    for number in range(1, boxes + 1):
        fleet.start_box(f"box-{number}")
    fleet.publish()
    fleet.wait_until_ready()


def process(context, name):
    """Return a process by its name or its alias in the scenario."""
    name = context.aliases.get(name, name)
    return next(p for p in context.fleet.processes() if p.name == name)


@when("{name} receives {signal_name}")
def send_signal(context, name, signal_name):
    process(context, name).send(_SIGNALS[signal_name])


@when("{name} is killed")
def kill(context, name):
    process(context, name).kill()


@then("{box} is not ready at once")
def not_ready(context, box):
    reply = http_json("GET", f"{context.fleet.boxes[box].operators_url}/readyz")
    assert not reply["ready"], reply


@then("{box} exits with code {code:d}")
def exits(context, box, code):
    popen = process(context, box).popen
    wait_for(f"{box} to exit", lambda: popen.poll() is not None)
    assert popen.returncode == code, popen.returncode


@then("every engine's memory is free again")
def memory_free(context):
    for name, engine in context.fleet.engines.items():
        if engine.alive():
            total = context.fleet._engine_rows[name]["memory_tokens"]
            wait_for(f"{name}'s memory", lambda n=name, t=total: context.fleet.free_tokens(n) == t)


@when("the engine that holds the first segment dies")
def kill_holder(context):
    for engine in context.fleet.engines.values():
        rows = http_json("GET", f"{engine.url}/sessions")["sessions"]
        if any(row["id"].endswith(".s0") for row in rows):
            engine.kill()
            return
    raise AssertionError("no engine holds a segment")


@when("{box} is removed from the list")
def remove_box(context, box):
    del context.fleet.boxes[box]
    context.fleet.publish()
    context.fleet.wait_until_ready()


@then("no reservation is left on {box}")
def no_reservation(context, box):
    def reserved():
        return sum(t["reserved_tokens"] for t in process(context, box).status()["targets"])

    wait_for("reservations to be released", lambda: reserved() == 0)


@given('"{owner}" owns {engine} and "{other}" does not')
def name_owner(context, owner, engine, other):
    boxes = context.fleet.boxes
    listed = next(iter(boxes.values())).status()["listed_targets"]
    name = next(t["owner"] for t in listed if t["name"] == engine)
    context.aliases = {owner: name, other: next(b for b in boxes if b != name)}


@when('"{name}" waits at {box}')
def waits(context, name, box):
    def waiting():
        return sum(t["waiting"] for t in process(context, box).status()["targets"])

    wait_for(f"{name} to wait", waiting)


@then("{count:d} sessions were started in total")
def count_sessions(context, count):
    runs = context.fleet.runs()
    assert len(runs) == len(set(runs)) == count, runs


@when('a box "{name}" joins')
def join(context, name):
    context.fleet.start_box(name)
    context.fleet.publish()
    context.fleet.wait_until_ready()


@when('the engine of "{name}" is leaving')
def start_leaving(context, name):
    fleet = context.fleet
    context.leaving = next(
        engine
        for engine, process_ in fleet.engines.items()
        if http_json("GET", f"{process_.url}/sessions")["sessions"]
    )
    fleet.leaving.add(context.leaving)
    fleet.publish()
    for box in fleet.boxes.values():
        wait_for(
            f"{box.name} to know",
            lambda b=box: any(t["leaving"] for t in b.status()["listed_targets"]),
        )


@when("{engine} has its switch {switch} set to {value}")
def set_switch(context, engine, switch, value):
    context.fleet.engines[engine].switch(**{switch: json.loads(value)})


@when("both engines die and two others start")
def replace_engines(context):
    fleet = context.fleet
    for name in list(fleet.engines):
        fleet.start_engine(f"{name}-new")
    fleet.publish()
    fleet.wait_until_ready()
    for name in [n for n in fleet.engines if not n.endswith("-new")]:
        fleet.engines[name].kill()


@when("{box} holds a reservation")
def holds_reservation(context, box):
    def reserved():
        return sum(t["reserved_tokens"] for t in process(context, box).status()["targets"])

    wait_for("a reservation", reserved)


@when("{box} has ended its requests")
def ended_requests(context, box):
    def ended():
        rows = process(context, box).log_rows()
        return any(r.get("message") == "request ended" for r in rows)

    wait_for("the end of the request", ended)


@then("at most {count:d} session was started")
def at_most(context, count):
    assert len(context.fleet.runs()) <= count, context.fleet.runs()


@given("{box} knows the sessions of {count:d} engines")
def knows_sessions(context, box, count):
    def known():
        targets = process(context, box).status()["targets"]
        return sum(t["sessions_known"] for t in targets) == count

    wait_for("the sessions to be known", known)


@given('a box "{name}" accepts bodies of {size:d} bytes within {seconds:d} seconds')
def small_box(context, name, size, seconds):
    entry = f"port = 0\nmax_body_bytes = {size}\nbody_time_s = {seconds}\n"
    context.fleet.start_box(name, entry=entry)
    context.fleet.publish()
    context.fleet.wait_until_ready()
