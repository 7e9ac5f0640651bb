"""The SASP frontend within the event loop's thread: carries out requests and pushes weights.

``rainpick.sasp.session`` has checked that a request is allowed on its stream; what it does to the fleet is
decided here. Member requests change the endpoint list, load-balancer requests the proxy sessions.
"""

from __future__ import annotations

from itertools import pairwise

from rainpick.director.context import Context
from rainpick.director.delivery import Delivery
from rainpick.director.engine import Write
from rainpick.director.member_labels import RejectedMemberError
from rainpick.director.membership import Membership
from rainpick.director.sessions import REQUEST_TIMES, ProxySession, Sessions
from rainpick.director.weight_entries import WeightEntryEncoder
from rainpick.net import StreamEnded
from rainpick.net.streams import Stream
from rainpick.sasp.constants import NO_CHANGE, TRUST, MessageType, ReturnCode
from rainpick.sasp.encoding import (
    encode_frame,
    encode_message,
    encode_reply,
    encode_send_weights,
    encode_weight_group,
)
from rainpick.sasp.messages import (
    REQUEST_TYPES,
    Deregistration,
    GetWeights,
    GetWeightsReply,
    Group,
    Registration,
    SetLbState,
    SetMemberState,
)
from rainpick.sasp.session import AcceptedRequest, RejectedRequest
from rainpick.sasp.wire import UINT8, UINT16

MemberRequest = Registration | Deregistration | SetMemberState
MAX_MESSAGE = 0x7FFFFFFF  # message ids of pushes stay positive
MIN_REQUEST_TIMES = REQUEST_TIMES - 1  # a proxy with fewer has not shown that it polls

PROXY_REQUESTS = Registration, Deregistration  # which members send as well


class SaspFrontend:
    """Members and proxies that speak SASP."""

    def __init__(self, context: Context, sessions: Sessions, delivery: Delivery, membership: Membership):
        self.context = context
        self.settings = context.settings
        self.log = context.log
        self.sessions = sessions
        self.delivery = delivery
        self.membership = membership
        self.encoder = WeightEntryEncoder()

    # Requests

    def receive(self, stream: Stream, event: AcceptedRequest | RejectedRequest | StreamEnded) -> None:
        """Handle what the reader of a stream delivers."""
        if isinstance(event, AcceptedRequest):
            self.sessions.identified(stream)
            self.carry_out(stream, event)
        elif isinstance(event, RejectedRequest):
            self.sessions.counts.rejected += 1
            self.log.warning("request rejected", peer=stream.peer, why=event.reason, code=event.code)
            stream.write(event.reply)
        else:
            if event.data:
                stream.write(event.data)
            self.sessions.close(stream, event.reason)

    def carry_out(self, stream: Stream, request: AcceptedRequest) -> None:
        """Carry out a request and answer it."""
        session = self.sessions.by_stream.get(stream.number)
        if session is not None:
            self.confirm_reading(session)
        message = request.message
        if isinstance(message, SetLbState):
            code = self.set_lb_state(stream, message)
            stream.write(encode_reply(MessageType.SET_LB_STATE, request.message_id, code))
        elif isinstance(message, GetWeights) or isinstance(message, PROXY_REQUESTS) and message.from_lb:
            self.carry_out_proxy_request(stream, request.message_id, message)
        else:
            self.carry_out_member_request(stream, request.message_id, message)
        if session is not None:
            session.replied_since_push = True

    def carry_out_proxy_request(
        self, stream: Stream, number: int, message: GetWeights | Registration | Deregistration
    ) -> None:
        """Serve a load balancer; one whose Set LB State was rejected is answered as if it had sent none."""
        session = self.sessions.by_stream.get(stream.number)
        if session is None:
            code = ReturnCode.UNKNOWN_LB if isinstance(message, GetWeights) else ReturnCode.LB_NOT_SEEN
            self.sessions.counts.rejected += 1
            why = f"{type(message).__name__} after a Set LB State that was rejected"
            self.log.warning("request rejected", peer=stream.peer, why=why, code=code)
            stream.write(encode_reply(REQUEST_TYPES[type(message)], number, code))
        elif isinstance(message, GetWeights):
            self.get_weights(session, number, message)
        elif isinstance(message, Registration):
            self.register_group(session, number, message)
        else:
            self.deregister_group(session, number, message)

    def carry_out_member_request(self, stream: Stream, number: int, message: MemberRequest) -> None:
        """Change the endpoint list as a member asks, and answer with success or the code of the rejection."""
        try:
            self.change_membership(stream.number, message)
            code: int = ReturnCode.SUCCESS
        except RejectedMemberError as error:
            self.sessions.counts.rejected += 1
            self.log.warning("request rejected", peer=stream.peer, why=str(error), code=error.code)
            code = error.code
        stream.write(encode_reply(REQUEST_TYPES[type(message)], number, code))

    def change_membership(self, stream: int, message: MemberRequest) -> None:
        """Apply each group of a request; ``RejectedMemberError`` at the first one that can't be."""
        if isinstance(message, Registration):
            now = self.context.clock()
            for members in message.groups:
                self.membership.register(stream, members.group, members.members, now)
        elif isinstance(message, Deregistration):
            for members in message.groups:
                self.membership.deregister(stream, members.group, members.members)
        else:
            for states in message.groups:
                self.membership.set_state(stream, states.group, states.states)

    # Proxies

    def set_lb_state(self, stream: Stream, message: SetLbState) -> int:
        """Open a proxy's session or change its flags; the return code."""
        if not message.flags & TRUST:
            self.log.warning(
                "request rejected",
                peer=stream.peer,
                proxy=message.uid,
                why="without the trust flag no server that registered itself may be named to it",
            )
            return ReturnCode.NOT_ACCEPTED
        if message.uid == self.settings.fleet.uid:
            return ReturnCode.NOT_ACCEPTED
        session = self.sessions.by_stream.get(stream.number)
        if session is None:
            session = self.sessions.open_session(stream, message.uid, message.flags, over_mqtt=False)
        session.flags = message.flags
        if self.context.engine is not None and session.joined:
            blocked = not session.accepts_push or session.blocked_since_us is not None
            self.context.engine.set_blocked(session.number, blocked)
        return ReturnCode.SUCCESS

    def register_group(self, session: ProxySession, number: int, message: Registration) -> None:
        """A proxy registers its group and names the servers that it holds already."""
        code = self.registration_code(session, message)
        session.stream.write(encode_reply(MessageType.REGISTRATION, number, code))
        if code == ReturnCode.SUCCESS and self.context.engine is not None:
            self.sessions.join(session)

    def registration_code(self, session: ProxySession, message: Registration) -> int:
        """Note the group and the servers of a registration; the return code."""
        if any(members.group.name != self.settings.fleet.group for members in message.groups):
            return ReturnCode.INVALID_GROUP
        servers = [member.key() for members in message.groups for member in members.members]
        if session.registered and session.initial_servers.issuperset(servers):
            return ReturnCode.ALREADY_REGISTERED
        session.registered = True
        session.initial_servers |= frozenset(servers)
        return ReturnCode.SUCCESS

    def deregister_group(self, session: ProxySession, number: int, message: Deregistration) -> None:
        """A proxy deregisters its group, or some servers of it: those it goes on being sent."""
        code = self.deregistration_code(session, message)
        session.stream.write(encode_reply(MessageType.DEREGISTRATION, number, code))

    def deregistration_code(self, session: ProxySession, message: Deregistration) -> int:
        """Remove the group of a proxy if the request names no servers; the return code."""
        if any(members.group.name != self.settings.fleet.group for members in message.groups):
            return ReturnCode.UNKNOWN_GROUP
        if not session.registered:
            return ReturnCode.UNKNOWN_GROUP
        if not any(members.members for members in message.groups):
            session.registered = session.joined = False
            session.initial_servers = frozenset()
            if self.context.engine is not None:
                self.context.engine.leave(session.number)
        return ReturnCode.SUCCESS

    def get_weights(self, session: ProxySession, number: int, message: GetWeights) -> None:
        """Answer a poll: what has changed if the proxy only polls and wants only that, else everything."""
        interval = self.settings.sasp.poll_interval_s
        engine = self.context.engine
        group = Group(session.uid, self.settings.fleet.group)
        if any(requested != group for requested in message.groups) or not session.registered:
            answer = GetWeightsReply(ReturnCode.UNKNOWN_GROUP, interval)
            session.stream.write(encode_message(answer, number))
            return
        if engine is None:
            session.stream.write(encode_message(GetWeightsReply(ReturnCode.SUCCESS, interval), number))
            return
        if not session.accepts_push and session.last_message:
            # It polls again, so it has read the last answer.
            engine.confirm_delivery(session.number, session.last_message)
        answered, delta = engine.poll(session.number)
        only_changes = not session.accepts_push and session.flags & NO_CHANGE and session.last_message
        lines = delta.lines if only_changes else engine.tables.all_lines(session.number)
        fixed = UINT8.pack(ReturnCode.SUCCESS) + UINT16.pack(interval) + UINT16.pack(1)
        rows = encode_weight_group(session.encoded_group, len(lines), self.encoder.encode(lines))
        data = encode_frame(number, MessageType.GET_WEIGHTS_REPLY, fixed, rows)
        if session.accepts_push:
            self.delivery.send(session, data, answered)
        else:
            session.last_message = answered
            session.stream.write(data)

    def push(self, session: ProxySession, write: Write, now: int) -> None:
        """Send a proxy what the engine has for it, without waiting."""
        withdrawn, others = write.delta
        if not session.flags & NO_CHANGE:  # it wants all lines each time
            snapshot = self.context.started_engine.tables.proxies[write.proxy].snapshot
            withdrawn = tuple([line for line in withdrawn if line.server not in snapshot.lines])
            others = snapshot.whole()
        if session.unconfirmed_since_us is None:
            session.unconfirmed_since_us, session.replied_since_push = now, False
        session.last_message = (session.last_message + 1) & MAX_MESSAGE
        rows = self.encoder.encode(withdrawn) + self.encoder.encode(others)
        frame = encode_send_weights(
            session.last_message, session.encoded_group, len(withdrawn) + len(others), rows
        )
        self.delivery.send(session, frame, write.number)

    # Proxies that do not read

    def confirm_reading(self, session: ProxySession) -> None:
        """A proxy that polls has read the previous encode_reply, and all that was written before that."""
        session.request_times_us.append(self.context.clock())
        if session.replied_since_push:
            session.unconfirmed_since_us = None

    def disconnect_silent(self, now: int) -> None:
        """Disconnect proxies that used to poll, and have not done so since they were last pushed to.

        A proxy that never polls can't show that it reads; ``sasp.write_stall`` covers those.
        """
        proof_us = self.settings.sasp.read_proof
        if not proof_us:
            return
        for session in list(self.sessions.by_stream.values()):
            if session.unconfirmed_since_us is None or len(session.request_times_us) < MIN_REQUEST_TIMES:
                continue
            times_us = list(session.request_times_us)
            interval_us = max(after - before for before, after in pairwise(times_us))
            silent_us = now - times_us[-1]
            if now - session.unconfirmed_since_us > proof_us and silent_us > max(proof_us, 3 * interval_us):
                self.sessions.disconnect(session, "it does not read")
