"""Stand-ins on sockets, small and scripted: media hosts, the list service and viewers."""
