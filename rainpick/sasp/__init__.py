"""SASP, the Server/Application State Protocol (RFC 4678): messages, codec and sessions, without I/O.

Modules in order of dependency, each importing only earlier ones: ``constants``, ``errors``, ``addresses``,
``messages``, ``wire``, ``encoding`` and ``decoding``, ``framing``, ``client``, ``transitions``, ``session``.
"""
