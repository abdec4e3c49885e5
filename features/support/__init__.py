"""Support for the scenarios: a fleet of processes, and a caller."""
