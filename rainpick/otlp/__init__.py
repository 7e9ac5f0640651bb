"""Load reports as OTLP metrics (OTLP 1.x over HTTP with protobuf): reading, writing, and the HTTP answers."""
