"""rainpick: a traffic director for a fleet of sidecar proxies."""
