"""What the scenarios stand on: processes, and a caller."""
