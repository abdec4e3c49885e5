"""Stand-ins for the services around a box: store, targets, model engine, service, box list.

Each is a program (``python -m gladedrum.standins.engine --help``); some also run inside
``gladedrumd``. They speak the same protocols as the real services, and ``POST /switches``
injects failures while they run. For tests and demonstrations only.
"""
