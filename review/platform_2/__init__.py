"""Stand-ins for the platform, its servers and its clients, which the cases of this review share.

They use the standard library only and listen on loopback addresses.
"""
