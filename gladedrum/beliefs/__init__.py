"""A box's copies of shared state, with their ages: configuration, target list and other boxes.

The copies are read from the platform's store or received from peers; their age counts from the time
at which the confirming call or question was sent. This package also decides which boxes read the
store for others. It may import `gossip`, `platform`, `fleet`, `routes` and `table`, but nothing of
placement, connections or requests.
"""
