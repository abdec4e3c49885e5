"""The daemon ``gladedrumd``, which runs a box as a tree of supervised tasks.

Import its modules by name: a forwarding box does not load those of the OpenAI interface, which
shortens its start.
"""
