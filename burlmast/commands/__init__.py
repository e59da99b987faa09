"""Command groups of the command line, a module each; thin: parse, call, print, exit code."""
