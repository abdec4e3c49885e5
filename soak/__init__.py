"""Randomized fault-injection tests of a fleet of real processes.

Run ``python -m soak --help`` for the options. A seed determines the faults and the traffic; only
the timing of the machine varies between runs. Boxes, targets and the stand-in for the store run as
separate processes. All connections go through loopback proxies, and signals pause, kill, stop and
restart the processes. Callers and targets record what they observe. The promises, which are the
guarantees of the serving layer, are checked against these records alone.
"""
