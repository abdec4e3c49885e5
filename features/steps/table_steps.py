"""Steps for operators' edits of the table."""

import json
import threading

from behave import then, when

from features.support.processes import call_json, http_json, wait_for


def _edit(context, box, knob, value, seen=None, token="secret"):
    url = f"{context.fleet.boxes[box].operators_url}/table"
    if seen is None:
        seen = http_json("GET", f"{url}/rows")["revision"]
    body = {
        "cells": [{"row": "default", "knob": knob, "value": value}],
        "seen_revision": seen,
        "who": box,
    }
    return call_json("POST", f"{url}/edits", body, {"Authorization": f"Bearer {token}"})


def _edit_both(context, edits):
    results = {}

    def run(number, edit):
        results[number] = _edit(context, *edit)

    threads = [threading.Thread(target=run, args=pair) for pair in enumerate(edits)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.edits = [results[n] for n in range(len(edits))]


@when(
    "operators set default {knob} to {one:g} through {first} and to {two:g} through {second}, "
    "based on revision {seen:d}"
)
def race_same(context, knob, one, two, first, second, seen):
    _edit_both(context, [(first, knob, one, seen), (second, knob, two, seen)])


@when(
    "operators set default {knob} to {one:g} through {first} and default {other} to {two:g} "
    "through {second}"
)
def race_other(context, knob, one, first, other, two, second):
    _edit_both(context, [(first, knob, one), (second, other, two)])


@when("an operator sets default {knob} to {value} through {box}")
def edit(context, knob, value, box):
    context.edits = [_edit(context, box, knob, json.loads(value))]


@when("somebody without the token sets default {knob} to {value} through {box}")
def edit_without_token(context, knob, value, box):
    context.edits = [_edit(context, box, knob, json.loads(value), token="guess")]


@then("one edit is accepted and the other is rejected as a conflict")
def one_accepted(context):
    results = sorted(body["result"] for _, body in context.edits)
    assert results == ["accepted", "conflict"], context.edits
    conflict = next(b for _, b in context.edits if b["result"] == "conflict")["conflicts"][0]
    assert {conflict["theirs"], conflict["yours"]} == {2.0, 3.0}


@then("both edits are accepted")
@then("the edit is accepted")
def accepted(context):
    assert all(body["result"] == "accepted" for _, body in context.edits), context.edits
    context.revision = max(body["revision"] for _, body in context.edits)


@then("the edit is not applied")
def not_applied(context):
    assert context.edits[0][1]["result"] == "not-applied", context.edits


@then("the edit is refused with status {status:d}")
def refused(context, status):
    assert context.edits[0][0] == status, context.edits


@then("the history has {count:d} edit")
def history(context, count):
    box = next(iter(context.fleet.boxes.values()))
    edits = http_json("GET", f"{box.operators_url}/table/history")["edits"]
    assert len(edits) == count, edits


@then("every box has the newest revision in force")
def in_force(context):
    for box in context.fleet.boxes.values():
        wait_for(
            f"{box.name} to have the revision",
            lambda b=box: b.status()["table_revision"] >= context.revision,
            wait_s=11,
        )
