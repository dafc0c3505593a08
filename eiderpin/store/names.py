"""Names under which the store holds what dispatchers know of each other and share."""

LIVE_MEMBERS = "dispatchers/"  # and a dispatcher's name: a dispatcher that is a member is live
OBSERVERS = "observers/"  # and a member's name: the observers that it announces (`presence`)
IN_FORCE = "in_force/"  # and a member's name: what its observers have in force (`in_force`)
CURRENT_CONFIG = "config/current"  # a line with the version, then the text of the shared configuration
CONFIG_VERSIONS = "config/versions/"  # and a number: its text
WORKER_OVERRIDES = "orders/workers/"  # and a worker's name: an operator's override (`orders`)

OBSERVED_PREFIXES = (CURRENT_CONFIG, WORKER_OVERRIDES)  # prefixes of the documents that observers follow
