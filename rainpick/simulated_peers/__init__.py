"""Simulated peers of a director on loopback: servers, proxies, clients, and the scripted days they run in."""
