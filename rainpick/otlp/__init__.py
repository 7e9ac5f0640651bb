"""Load reports as metrics over OTLP/HTTP with protobuf (OTLP 1.x): decoding, encoding, HTTP handler."""
