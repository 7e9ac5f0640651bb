"""MQTT 5 (OASIS standard, 7 March 2019) without I/O: packets, topic filters, and both sides of a connection.

QoS 0 and 1 are supported, enhanced authentication is not. Section numbers in this package are those of the
standard.
"""
