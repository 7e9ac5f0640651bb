"""A plain proxy's end of the publish-subscribe front, on a blocking socket."""

from __future__ import annotations

import socket

from rainpick.mqtt import codec
from rainpick.mqtt.session import ClientEnd
from rainpick.publish import payloads
from rainpick.publish.follow import Follower
from rainpick.publish.payloads import Presence, Trouble
from rainpick.standins import blocking


class MqttProxy:
    """One connection. ``acknowledges`` False: it reads and says nothing."""

    def __init__(self, place: tuple[str, int], uid: str, timeout_s: float = 3.0, receive_most: int = 100):
        self.uid, self.end, self.timeout_s = uid, ClientEnd(), timeout_s
        self.acknowledges, self.told = True, []
        self.codes: dict[int, int] = {}
        self.follower = Follower()
        self.sock = socket.create_connection(place, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.write(codec.Connect(uid, props={"receive_maximum": receive_most}))
        ack = self.wait_for(codec.Connack)
        if ack.code != codec.SUCCESS:
            raise ConnectionAbortedError(f"CONNACK {ack.code:#04x}")

    def write(self, *packets: codec.Packet) -> None:
        self.sock.sendall(b"".join(codec.write(one) for one in packets))

    def packets(self, timeout_s: float) -> list[codec.Packet]:
        return blocking.receive(self.sock, timeout_s, self.end.receive, codec.MqttError)

    def wait_for(self, kind: type) -> codec.Packet:
        """The next packet of a kind; what is published meanwhile is taken."""
        while True:
            found = self.packets(self.timeout_s)
            if not found:
                raise TimeoutError(f"no {kind.__name__}")
            self.take(found)
            for one in found:
                if isinstance(one, kind):
                    return one

    def subscribe(self, *filters: str, qos: int = 1) -> tuple[int, ...]:
        self.write(codec.Subscribe(self.end.number(), tuple((name, qos) for name in filters)))
        return self.wait_for(codec.Suback).codes

    def say(self, what: str, one: payloads.Up | bytes) -> int:
        """Publish upwards; the reason code of the acknowledgement."""
        number = self.end.number()
        data = one if isinstance(one, bytes) else payloads.encode(one)
        self.write(codec.Publish(payloads.up_topic(self.uid, what), data, 1, number))
        while number not in self.codes:
            found = self.packets(self.timeout_s)
            if not found:
                raise TimeoutError("no PUBACK")
            self.take(found)
        return self.codes.pop(number)

    def join(self, before: Follower | None, held: dict[str, int]) -> Follower:
        """Be a proxy that holds a checked version of a table, or servers of unknown weight."""
        self.follower = before or Follower(held)
        self.subscribe(payloads.orders_topic(self.uid), f"{payloads.ROOT}/table/+")
        old = self.follower
        code = self.say(
            "presence", Presence("here", old.epoch, old.table, old.version, old.digest, tuple(old.lines))
        )
        if code != codec.SUCCESS:
            raise ConnectionAbortedError(f"presence refused: {code:#04x}")
        return self.follower

    def take(self, found: list[codec.Packet]) -> bool:
        """Follow what is published; whether anything came."""
        news = False
        for one in found:
            if isinstance(one, codec.Puback):
                self.codes[one.number] = one.code
            elif isinstance(one, codec.Disconnect):
                raise ConnectionResetError(f"DISCONNECT {one.code:#04x}")
            elif isinstance(one, codec.Publish):
                self.told.append(one)
                news = True
                if one.qos and self.acknowledges:
                    self.write(codec.Puback(one.number))
                self.follow(one.payload)
        return news

    def follow(self, data: bytes) -> None:
        try:
            trouble = self.follower.take(payloads.read_down(data))
        except payloads.PayloadError:
            trouble = self.follower.trouble("digest")  # damaged on its way: the whole is wanted
        if trouble is not None:
            self.complain(trouble)

    def complain(self, trouble: Trouble) -> None:
        topic = payloads.up_topic(self.uid, "trouble")
        self.write(codec.Publish(topic, payloads.encode(trouble), 0))

    def read(self, timeout_s: float) -> bool:
        return self.take(self.packets(timeout_s))

    def close(self) -> None:
        blocking.close(self.sock)
