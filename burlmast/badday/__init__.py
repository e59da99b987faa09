"""Runs a scripted day on sockets: gateways in processes of their own, stand-ins beside them, and the audit
after."""
