"""Many processes as one: versions and ledgers, membership, desks, orders and leases (docs/fleet.md)."""
