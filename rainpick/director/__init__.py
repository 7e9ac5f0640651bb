"""The running director: pure state machines, the engine that joins them, and thin shells that own sockets."""
