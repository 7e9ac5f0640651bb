"""The relay's two ways: news of the proxies, and calls that carry the module's orders, one at a time."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Callable
from itertools import count

from rainpick.node.belief import Begun, Over, Told
from rainpick.node.codec import (
    Call,
    LineReader,
    Merged,
    NotTaken,
    SpoiltError,
    Taken,
    answer,
    load_json,
    merged,
    news,
)
from rainpick.node.configuration import Names
from rainpick.node.log import log

PIECE = 65_536
DIAL_S = 0.1  # a relay that is back is found within that
ANSWER_S = 0.12  # the relay answers within 50 ms or never; the rest is for a core that is shared
BUSY_S = 0.02
AGAIN_S = 0.02
IDLE_S = 1.0  # after which a call without orders keeps the connection from being closed as idle
SILENT_S = 2.0  # without a sign of life, due each second
FORMER_S = 3.0  # a former address should end its stream in half of that; no longer is it read
REFUSED_MOST = 5  # times that a whole call is refused for good before it is left out


class NoAnswerError(Exception):
    """A call may have been carried out whole, or not at all."""


def dial(place: tuple[str, int], timeout_s: float) -> socket.socket:
    sock = socket.create_connection(place, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Calls:
    """Sends calls strictly in order. One that may or may not have been carried out is sent again, whole,
    before anything newer: repeated in its place it is harmless, as every order says how things are to be.

    Calls that had to wait go as one, see ``codec.merged``; ``tell`` is handed what their marks stand for.
    """

    def __init__(self, place: tuple[str, int], routes: list[str], tell: Callable[[Merged], None]):
        self.place, self.routes, self.tell, self.queue = place, routes, tell, queue.SimpleQueue()
        self.sock: socket.socket | None = None
        self.dialled: tuple[str, int] | None = None
        self.lines, self.numbers, self.reached = LineReader(), count(1), True
        self.counts = {"calls": 0, "orders": 0, "again": 0, "busy": 0, "refused": 0, "dials": 0, "merged": 0}
        self.refusals = 0  # of the call that is sent now, not for being busy

    def put(self, call: Call) -> None:
        self.queue.put(call)

    def move(self, place: tuple[str, int]) -> None:
        """For another thread: the next call goes there."""
        self.place = place

    def run(self) -> None:
        waiting: list[Call] = []
        while True:
            try:
                waiting += [] if waiting else [self.queue.get(timeout=IDLE_S)]
            except queue.Empty:
                if self.sock is not None:
                    self.turn(Call(None, ()))
                continue
            self.reach()
            while not self.queue.empty():
                waiting.append(self.queue.get())
            if len(waiting) > 1:
                self.counts["merged"] += len(waiting)
                waiting, told = merged(waiting)
                if told is not None:
                    self.tell(told)
            left = self.turn(waiting[0])
            waiting[:1] = [] if left is None else [left]

    def reach(self) -> None:
        """Have a connection: what is ordered while there is none waits and goes as one."""
        while self.sock is None or self.dialled != self.place or self.ended():
            self.close()
            self.dialled = self.place
            try:
                self.sock, self.lines = dial(self.dialled, DIAL_S), LineReader()
            except OSError as flaw:
                if self.reached:
                    self.reached = False
                    log.warning("relay out of reach", why=str(flaw))
                time.sleep(AGAIN_S)
                continue
            self.counts["dials"] += 1
            if not self.reached:
                self.reached = True
                log.info("relay reached again")

    def turn(self, call: Call) -> Call | None:
        """Send a call, or as much of it as goes into one, once: what is still to be sent of it."""
        part = call.part(self.routes)
        try:
            taken = self.send(part)
        except NoAnswerError as flaw:
            self.counts["again"] += 1
            log.warning("call in doubt, sent again", why=str(flaw), orders=part.many())
            self.close()
            return call
        if type(taken) is NotTaken:
            self.counts["busy"] += 1
            self.refusals += taken.code != "BUSY"
            if self.refusals < REFUSED_MOST:
                time.sleep(BUSY_S)
                return call
            log.error("call left out", why=taken.code, orders=part.many())
            taken = Taken(part.many())
        self.refusals = 0
        self.counts["calls"] += 1
        self.counts["orders"] += taken.count
        if taken.count < part.many():
            self.counts["refused"] += 1
            log.warning("order refused", place=taken.count, orders=part.many())
        return call.rest(taken.count, part)

    def send(self, call: Call) -> Taken | NotTaken:
        """One try; ``NoAnswerError``: the call may have been carried out, whole, or not at all."""
        number = next(self.numbers)
        try:
            self.sock.settimeout(ANSWER_S)
            self.sock.sendall(call.data(number, self.routes))
            until = time.monotonic() + ANSWER_S
            while True:
                left = until - time.monotonic()
                if left <= 0:
                    raise NoAnswerError("no answer in time")
                self.sock.settimeout(left)
                data = self.sock.recv(PIECE)
                if not data:
                    raise NoAnswerError("closed before the answer")
                for line in self.lines.receive(data):
                    return answer(line, number, call.many())
        except (OSError, ValueError) as flaw:
            raise NoAnswerError(str(flaw) or type(flaw).__name__) from None

    def ended(self) -> bool:
        """Whether the other side has closed, or written what nobody asked for."""
        try:
            self.sock.setblocking(False)
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class News:
    """Subscribes, again and again; ``give`` is handed lists of ``Begun``, ``Told`` and ``Over``.

    A stream is read by a thread of its own: at a new address the next one begins while the former is still
    read, until the old address ends it.
    """

    def __init__(self, place: tuple[str, int], names: Names, give: Callable[[list], None]):
        self.place, self.names, self.give = place, names, give
        self.streams = self.spoilt = self.newest = 0
        self.moved_s, self.wanted = 0.0, threading.Event()

    def move(self, place: tuple[str, int]) -> None:
        """For another thread: the news are to be had somewhere else from now on."""
        self.place, self.moved_s = place, time.monotonic()
        self.wanted.set()

    def run(self) -> None:
        reached = True
        while True:
            self.wanted.clear()
            place = self.place
            try:
                sock = dial(place, DIAL_S)
            except OSError as flaw:
                if reached:
                    log.warning("news out of reach", why=str(flaw))
                reached = False
                time.sleep(AGAIN_S)
                continue
            reached = True
            self.newest += 1
            threading.Thread(target=self.read, args=(sock, self.newest), name="news", daemon=True).start()
            while not (self.wanted.wait(1.0) or self.place != place):
                pass

    def read(self, sock: socket.socket, number: int) -> None:
        try:
            with sock:
                self.follow(sock, number)
        except Exception as flaw:  # whatever it was, this stream is over, and only another one can help
            log.warning("news broke off", why=str(flaw) or type(flaw).__name__)
        finally:
            self.give([Over(number)])
            if number == self.newest:
                time.sleep(AGAIN_S)
                self.wanted.set()

    def follow(self, sock: socket.socket, number: int) -> None:
        sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"subscribe"}\n')
        sock.settimeout(SILENT_S)
        lines, begun = LineReader(), False
        while number == self.newest or time.monotonic() < self.moved_s + FORMER_S:
            data = sock.recv(PIECE)
            if not data:
                raise ConnectionResetError("closed by the relay")
            found: list = []
            for line in lines.receive(data):
                if not begun:
                    message = load_json(line)
                    if not isinstance(message, dict) or message.get("result") is not True:
                        raise ValueError(f"not subscribed: {line[:80]!r}")
                    begun = True
                    self.streams += 1
                    found.append(Begun(number))
                    continue
                try:
                    found.append(Told(number, news(line, self.names)))
                except SpoiltError as flaw:
                    self.spoilt += 1
                    log.warning("news dropped", why=str(flaw))
            self.give(found)
