"""Steps that start, stop and disturb the processes of the fleet."""

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


@when("{process} receives {name}")
def send_signal(context, process, name):
    found = next(p for p in context.fleet.processes() if p.name == process)
    found.send(_SIGNALS[name])


@when("{process} is killed")
def kill(context, process):
    next(p for p in context.fleet.processes() if p.name == process).kill()


@then("{box} is not ready at once")
def not_ready(context, box):
    reply = http_json("GET", f"{context.fleet.boxes[box].operators}/readyz")
    assert not reply["ready"], reply


@then("{box} exits with code {code:d}")
def exits(context, box, code):
    popen = context.fleet.boxes[box].popen
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


@when("{box} is gone from the list")
def gone(context, box):
    del context.fleet.boxes[box]
    context.fleet.publish()


@then("no reservation is left on {box}")
def no_reservation(context, box):
    def reserved():
        return sum(t["reserved_tokens"] for t in context.fleet.boxes[box].status()["targets"])

    wait_for("reservations to be given back", lambda: reserved() == 0)
