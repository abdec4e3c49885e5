"""Placement of requests: choosing targets, coordinating boxes, and the fleet-wide retry budget.

Inputs are demands of requests, notes from peers and reports from engines; outputs are choices of
targets. The placement policies are in `scheduling`, which has no clock and no network access. This
package may import `beliefs`, `connections`, `gossip` and `scheduling`, but not the request
lifecycle in `forward`.
"""
