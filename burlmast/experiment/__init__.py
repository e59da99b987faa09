"""Experiments: a grid of scenarios, settings, policies and seeds, played in the model over many processes,
kept on disk as it goes, compared in pairs and reported."""
