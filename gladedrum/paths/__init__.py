"""Paths to targets: the box's own link, or a tunnel through a peer.

Input: the list of targets, the known peers, and what comes of each connection. Output: open
connections for the pool, and which failures may count against a target. Design:
``docs/design/peer-paths.md``. May import `connections` and `gossip`, nothing above them.
"""
