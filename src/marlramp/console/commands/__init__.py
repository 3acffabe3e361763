"""One module per command of the command-line tool."""
