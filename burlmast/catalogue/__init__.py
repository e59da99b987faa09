"""The catalogue of shards: which cells hold which part of a title's audience. Each gateway holds its part."""
