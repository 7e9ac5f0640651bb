"""The SASP frontend in the event loop's thread: handles requests and pushes weights.

``rainpick.sasp.session`` has checked that a request is allowed on its stream; this module applies the
request. Requests of members change the endpoint list, requests of load balancers change the proxy sessions.
"""

from __future__ import annotations

from itertools import pairwise

from rainpick.director.context import Context
from rainpick.director.delivery import Delivery
from rainpick.director.engine import OutgoingMessage
from rainpick.director.member_labels import RejectedMemberError
from rainpick.director.membership import Membership
from rainpick.director.sessions import MAX_REQUEST_TIMES, ProxySession, Sessions
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
MAX_MESSAGE = 0x7FFFFFFF  # largest message id of a push; a larger one would be negative as a signed number
MIN_REQUEST_TIMES = MAX_REQUEST_TIMES - 1  # fewer recorded request times do not show that a proxy polls

PROXY_REQUESTS = Registration, Deregistration  # the requests of load balancers that members send as well


class SaspFrontend:
    """Handles the members and proxies that are connected over SASP."""

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
        """Reply to an accepted or rejected request; close the stream if it has ended."""
        if isinstance(event, AcceptedRequest):
            self.sessions.mark_identified(stream)
            self.handle_request(stream, event)
        elif isinstance(event, RejectedRequest):
            self.sessions.counts.rejected += 1
            self.log.warning("request rejected", peer=stream.peer, why=event.reason, code=event.code)
            stream.write(event.reply)
        else:
            if event.data:
                stream.write(event.data)
            self.sessions.close(stream, event.reason)

    def handle_request(self, stream: Stream, request: AcceptedRequest) -> None:
        """Handle a request and reply to it."""
        session = self.sessions.by_stream.get(stream.number)
        if session is not None:
            self.confirm_reading(session)
        message = request.message
        if isinstance(message, SetLbState):
            code = self.set_lb_state(stream, message)
            stream.write(encode_reply(MessageType.SET_LB_STATE, request.message_id, code))
        elif isinstance(message, GetWeights) or isinstance(message, PROXY_REQUESTS) and message.from_lb:
            self.handle_proxy_request(stream, request.message_id, message)
        else:
            self.handle_member_request(stream, request.message_id, message)
        if session is not None:
            session.replied_since_push = True

    def handle_proxy_request(
        self, stream: Stream, number: int, message: GetWeights | Registration | Deregistration
    ) -> None:
        """Handle a load balancer's request.

        A load balancer whose Set LB State was rejected gets the same reply as one that has sent none.
        """
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

    def handle_member_request(self, stream: Stream, number: int, message: MemberRequest) -> None:
        """Apply a member's request and reply with success or the code of the rejection."""
        try:
            self.change_membership(stream.number, message)
            code: int = ReturnCode.SUCCESS
        except RejectedMemberError as error:
            self.sessions.counts.rejected += 1
            self.log.warning("request rejected", peer=stream.peer, why=str(error), code=error.code)
            code = error.code
        stream.write(encode_reply(REQUEST_TYPES[type(message)], number, code))

    def change_membership(self, stream: int, message: MemberRequest) -> None:
        """Apply each group of a request; ``RejectedMemberError`` at the first invalid one."""
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
        """Open a proxy's session or change its flags; return the return code."""
        if not message.flags & TRUST:
            self.log.warning(
                "request rejected",
                peer=stream.peer,
                proxy=message.uid,
                why="the trust flag is not set: servers that registered themselves must not be sent to it",
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
        """Register a proxy's group and the servers that it holds already; join it if there is an engine."""
        code = self.registration_code(session, message)
        session.stream.write(encode_reply(MessageType.REGISTRATION, number, code))
        if code == ReturnCode.SUCCESS and self.context.engine is not None:
            self.sessions.join(session)

    def registration_code(self, session: ProxySession, message: Registration) -> int:
        """Store the group and the servers of a registration; return the return code."""
        if any(members.group.name != self.settings.fleet.group for members in message.groups):
            return ReturnCode.INVALID_GROUP
        servers = [member.key() for members in message.groups for member in members.members]
        if session.registered and session.initial_servers.issuperset(servers):
            return ReturnCode.ALREADY_REGISTERED
        session.registered = True
        session.initial_servers |= frozenset(servers)
        return ReturnCode.SUCCESS

    def deregister_group(self, session: ProxySession, number: int, message: Deregistration) -> None:
        """Deregister a proxy's group. A request that names servers has no effect."""
        code = self.deregistration_code(session, message)
        session.stream.write(encode_reply(MessageType.DEREGISTRATION, number, code))

    def deregistration_code(self, session: ProxySession, message: Deregistration) -> int:
        """Remove a proxy's group if the request names no servers; return the return code."""
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
        """Reply to a poll with a delta or with all lines.

        Only a proxy that is not pushed to, accepts deltas and has received a reply before is sent a delta.
        """
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
            # By polling again, the proxy shows that it has read the last reply.
            engine.confirm_delivery(session.number, session.last_message)
        message_number, delta = engine.poll(session.number)
        only_changes = not session.accepts_push and session.flags & NO_CHANGE and session.last_message
        lines = delta.lines if only_changes else engine.tables.all_lines(session.number)
        fixed = UINT8.pack(ReturnCode.SUCCESS) + UINT16.pack(interval) + UINT16.pack(1)
        rows = encode_weight_group(session.encoded_group, len(lines), self.encoder.encode(lines))
        data = encode_frame(number, MessageType.GET_WEIGHTS_REPLY, fixed, rows)
        if session.accepts_push:
            self.delivery.send(session, data, message_number)
        else:
            session.last_message = message_number
            session.stream.write(data)

    def push(self, session: ProxySession, message: OutgoingMessage, now: int) -> None:
        """Send a message of the engine to a proxy without blocking."""
        withdrawn, others = message.delta
        if not session.flags & NO_CHANGE:  # the proxy does not accept deltas
            snapshot = self.context.started_engine.tables.proxies[message.proxy].snapshot
            withdrawn = tuple([line for line in withdrawn if line.server not in snapshot.lines])
            others = snapshot.sorted_entries()
            additional = len(withdrawn) + len(others) - len(message.delta.lines)
            self.context.started_engine.record_additional_lines(additional)
        if session.unconfirmed_since_us is None:
            session.unconfirmed_since_us, session.replied_since_push = now, False
        session.last_message = (session.last_message + 1) & MAX_MESSAGE
        rows = self.encoder.encode(withdrawn) + self.encoder.encode(others)
        frame = encode_send_weights(
            session.last_message, session.encoded_group, len(withdrawn) + len(others), rows
        )
        self.delivery.send(session, frame, message.number)

    # Proxies that do not read

    def confirm_reading(self, session: ProxySession) -> None:
        """Record a request; it shows that the proxy has read the last reply and all messages before it."""
        session.request_times_us.append(self.context.clock())
        if session.replied_since_push:
            session.unconfirmed_since_us = None

    def disconnect_silent(self, now: int) -> None:
        """Disconnect proxies that have stopped polling and have not proved to have read a push.

        Both the push and the last request must be older than ``sasp.read_proof``, and the last request also
        older than three poll intervals. A proxy that never polls can't prove that it reads; only
        ``sasp.write_stall`` applies to it.
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
                self.sessions.disconnect(session, "no poll within sasp.read_proof")
