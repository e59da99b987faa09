"""The gateway on the platform: JSON lines to viewers, binary messages to hosts, DNS for the list."""
