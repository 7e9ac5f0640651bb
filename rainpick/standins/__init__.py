"""Stand-ins, written for this project, of what a director serves: servers, plain proxies, clients."""
