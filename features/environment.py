"""Behave hooks: each scenario has a fleet of its own, which is stopped after it."""

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
