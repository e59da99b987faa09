"""Fleets in virtual time: real decisions, modelled hosts, links and viewers, and the same audit as on
sockets."""
