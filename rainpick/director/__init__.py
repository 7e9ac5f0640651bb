"""The director daemon: state machines without I/O, the engine that connects them, and socket frontends."""
