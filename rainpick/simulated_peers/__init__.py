"""Simulated peers of a director on loopback: servers, proxies and clients, and scripted days with them."""
