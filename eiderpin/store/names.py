"""Names and name prefixes of the documents through which dispatchers share their state."""

LIVE_MEMBERS = "dispatchers/"  # + dispatcher name: present while that member of the store is live
OBSERVERS = "observers/"  # + member name: the observers that it announces, see `presence`
IN_FORCE = "in_force/"  # + member name: what its observers have in force, see `in_force`
CURRENT_CONFIG = "config/current"  # a line with the version, then the text of the shared configuration
CONFIG_VERSIONS = "config/versions/"  # + version number: the text of that version
WORKER_OVERRIDES = "orders/workers/"  # + worker name: an operator's override, see `orders`

OBSERVED_PREFIXES = (CURRENT_CONFIG, WORKER_OVERRIDES)  # documents that observers follow
