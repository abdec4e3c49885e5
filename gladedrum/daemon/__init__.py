"""The daemon: a tree of supervised tasks that together make a box.

Its modules are imported by name: a box that forwards starts without those of the OpenAI interface,
and is back the sooner after a loss of power.
"""
