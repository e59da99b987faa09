"""Fault trials of real gateway processes: generated cases, stand-ins that fail as told, and a judge."""
