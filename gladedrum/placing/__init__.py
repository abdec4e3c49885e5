"""Placement of requests: choosing targets, coordinating boxes, and the fleet-wide retry budget.

Inputs are demands of requests, notes from peers and reports from engines; outputs are choices of
targets. A *note* is an entry of a gossip message. An *engine* is a target that runs a language
model. The placement policies are in `scheduling`, which has no clock and no network access. Modules
of this package must not import the request lifecycle in `forward`; their tests may.
"""
