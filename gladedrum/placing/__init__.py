"""Where a request goes: what is known of all targets' work, who decides, the fleet's repeats.

In come demands, notes of peers and reports of engines; out go choices. The policies themselves are
in `scheduling`, without clock and network. May import `beliefs`, `connections`, `gossip` and
`scheduling`; nothing of the life of a request.
"""
