"""eiderpin: a dispatcher that hands jobs to workers."""

VERSION = "0.2.0"
