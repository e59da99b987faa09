"""What a gateway knows of media hosts when it starts: the list as it was last heard, kept on disk."""
