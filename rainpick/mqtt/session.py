"""Former names from ``client``, ``events`` and ``server``, for callers that have not been renamed."""

from rainpick.mqtt.client import ClientConnection as ClientEnd
from rainpick.mqtt.events import ConnectionClosed as Over
from rainpick.mqtt.events import ConnectRequested as Joined
from rainpick.mqtt.events import MessageAcknowledged as Acked
from rainpick.mqtt.events import MessageReceived as Said
from rainpick.mqtt.events import Subscribed as Wants
from rainpick.mqtt.events import Unsubscribed as Unwants
from rainpick.mqtt.server import PacketReader
from rainpick.mqtt.server import ServerConnection as ServerEnd

__all__ = ["Acked", "ClientEnd", "Joined", "Over", "PacketReader", "Said", "ServerEnd", "Unwants", "Wants"]
