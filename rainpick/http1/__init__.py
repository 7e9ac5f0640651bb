"""HTTP/1.1 on blocking sockets, parsed by h11: a bounded server, one thread per connection, and a client."""
