"""HTTP/1.1 on blocking sockets, parsed by h11: a server with one thread per connection, and a client."""
