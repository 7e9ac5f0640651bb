"""MQTT 5 (OASIS standard, 7 March 2019): codec and the two ends of a connection, free of I/O. QoS 0 and 1."""
