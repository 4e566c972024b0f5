"""A fleet of dispatchers: membership, leases, versions in force, and what a dispatcher behind may do."""
