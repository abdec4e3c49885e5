"""What a box believes, since when, and from whom: configuration, list of targets, other boxes.

In come answers of the platform's store and of peers, each with the time at which its question was
sent; out go values with an age. Who vouches for whom is decided here. May import `gossip`,
`platform`, `fleet`, `routes` and `table`; nothing of placing, connections or requests.
"""
