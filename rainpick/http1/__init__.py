"""HTTP/1.1 on blocking sockets, parsed by h11: a bounded server of one thread a connection, and a client."""

from rainpick.http1.client import Client, ClientError
from rainpick.http1.server import Answer, Asked, Server

__all__ = ["Answer", "Asked", "Client", "ClientError", "Server"]
