"""SASP, the Server/Application State Protocol (RFC 4678): codec and the two ends of a stream, free of I/O."""
