"""Behave hooks: each scenario runs with its own fleet, which is stopped afterwards."""

from features.support.fleet import Fleet


def before_scenario(context, scenario):
    context.fleet = Fleet()
    context.calls = {}
    context.aliases = {}


def after_scenario(context, scenario):
    failed = scenario.status.name in ("failed", "error")
    if failed:
        for process in context.fleet.processes():
            logs = [path.read_text()[-3000:] for path in (process.out, process.log)]
            print(f"--- {process.name}", *logs, sep="\n")
    context.fleet.stop()
