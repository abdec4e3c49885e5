"""A box's beliefs: its copies of shared state, which may be outdated, and their ages.

A box keeps copies of the configuration, the target list and the list of other boxes. They are read
from the platform's store or received from peers; their age counts from the time at which the
confirming call or question was sent. This package also decides which boxes read the store for
others. It may import `gossip`, `platform`, `fleet`, `routes` and `table`, but nothing of placement,
connections or requests.
"""
