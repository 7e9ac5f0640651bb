"""The live director: the operators' platform as a front end of the decisions.

``process`` starts it all. Threads read what comes in (``collector_listener``, ``discovery_watch``,
``relay_subscription``) and post it to the ``mailbox``; the ``event_loop`` steps the decisions and hands their
commands to the ``commit_client``, which sends them to the relay.
"""
