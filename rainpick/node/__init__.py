"""The live director: a frontend that connects the decisions to the operators' platform.

``process`` starts all threads. The input threads (``collector_listener``, ``discovery_watch``,
``relay_subscription``) post load reports and notifications to the ``mailbox``. The ``event_loop`` passes them
as events to the decisions and passes the resulting commands to the ``commit_client``, which sends them to the
relay.
"""
