"""SASP, the Server/Application State Protocol (RFC 4678): messages, codec and sessions, free of I/O.

Modules, each using only those before it: ``constants``, ``errors``, ``addresses``, ``messages``, ``wire``,
``encoding`` and ``decoding``, ``framing``, ``client``, ``transitions``, ``session``.
"""
