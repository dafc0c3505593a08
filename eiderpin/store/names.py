"""Names under which the store holds what dispatchers know of each other and share."""

PRESENT = "dispatchers/"  # and a dispatcher's name: it is there
CURRENT = "config/current"  # a line with the version, then the text of the shared configuration
VERSIONS = "config/versions/"  # and a number: its text
