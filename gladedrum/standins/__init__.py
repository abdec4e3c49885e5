"""Small stand-ins for model engine, plain service, key-value service and box list.

Each is a program of its own (``python -m gladedrum.standins.engine --help``) and can also
run inside ``gladedrumd``. They follow the protocols that the boxes speak and have switches
that bring about failures; they are made for tests and demonstrations only.
"""
