"""eiderpin: the decisions of a dispatcher that pushes jobs to workers."""
