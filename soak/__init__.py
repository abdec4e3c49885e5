"""A randomized fault soak: the real programs as processes, harmed from outside, promises checked.

``python -m soak --help`` tells how to run it. A seed decides everything but what the machine's own
timing decides. Boxes, targets and the store's stand-in run as processes of their own; all
connections go through loopback proxies; processes are paused, killed, stopped and restarted by
signals. Callers and targets note what they see, and the promises are checked against their notes
alone.
"""
