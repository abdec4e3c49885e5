"""``gladedrumctl``, the operators' command-line tool."""
