"""Parts of the decision logic, one module for each concern. None does I/O or reads a clock."""
