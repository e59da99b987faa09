"""Releases: a new version goes out in waves, is watched beside the old, halts and goes back."""
