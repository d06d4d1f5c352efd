"""Stand in for the systems around ebonystile in demos and tests: the platform and upstreams."""
