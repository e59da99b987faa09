"""What surrounds a gateway, as plain values: troubles, traffic seen, and the audit of the six rules. No
socket."""
