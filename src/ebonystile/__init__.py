"""Load-balance layer-4 flows over upstreams that are replaced while callers stay connected."""

__version__ = "0.1.0"
