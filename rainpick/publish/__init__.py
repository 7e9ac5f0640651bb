"""Table distribution over MQTT without I/O: topics, payloads, table updates and pinned table versions."""
