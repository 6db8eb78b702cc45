"""Hostile clients: many connections to one address that send what a script says and never read."""

import dataclasses
import errno
import select
import socket
import struct
import threading
import time

POLL_S = 0.05
SEND_BYTES = 256 * 1024
RECONNECT_DELAY_S = 0.5
MAX_LIFETIME_S = 120
REPETITIONS_PER_BLOCK = 4096
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Script:
    """What a connection sends: the opening, then the repeated piece until the limit is reached."""

    opening: bytes = b""
    repeated: bytes = b""
    limit_bytes: int = 0
    interval_s: float = 0.0  # Pause between two repeated pieces. 0: as fast as the peer accepts.


class Client:
    """One connection of a crowd."""

    def __init__(self, script, block):
        self.script = script
        self.block = block
        self.socket = None
        self.retry_at = 0.0
        self.sent = 0

    def connect(self, address, segment_bytes):
        self.sent = 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        # A reset leaves no closed connection behind in the machine's table.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if segment_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
        return self.socket.connect_ex(address) in (0, errno.EINPROGRESS)

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None

    def complete(self):
        opening = len(self.script.opening)
        return self.sent >= opening + (self.script.limit_bytes if self.script.repeated else 0)

    def send_piece(self):
        """Sends as much as the peer accepts of the next piece. Returns the number of bytes."""
        opening = self.script.opening
        if self.sent < len(opening):
            piece = opening[self.sent:]
        elif self.script.interval_s:
            piece = self.script.repeated
        else:
            begin = (self.sent - len(opening)) % len(self.script.repeated)
            piece = self.block[begin:begin + SEND_BYTES]
        try:
            count = self.socket.send(piece)
        except BlockingIOError:
            return 0
        self.sent += count
        return count


class Crowd:
    """Runs its clients in a thread of its own from start() to stop(), at most MAX_LIFETIME_S.

    A connection that the peer closes is opened again after RECONNECT_DELAY_S, as long as fewer than
    `reconnects` were. A small segment size keeps the peer's send buffer small.
    """

    def __init__(self, address, script, connections, reconnects=0, segment_bytes=0):
        ip, port = address.rsplit(":", 1)
        self.address = (ip, int(port))
        self.script = script
        block = memoryview(script.repeated * REPETITIONS_PER_BLOCK)
        self.clients = [Client(script, block) for _ in range(connections)]
        self.reconnects_left = reconnects
        self.segment_bytes = segment_bytes
        self.sent_bytes = 0
        self.closed_by_peer = 0
        self.stopping = threading.Event()
        self.settled = threading.Event()
        self.epoll = select.epoll()
        self.by_descriptor = {}
        self.failure = None  # Error that ended the crowd early.
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join()

    def wait_until_settled(self, limit_s):
        """Waits until each client has sent all it sends at full speed, or was closed by the peer.
        A peer that no longer reads from its clients is given up on after limit_s seconds."""
        self.settled.wait(limit_s)

    def run(self):
        try:
            self.serve_clients()
        except OSError as error:  # Such as too few descriptors for the crowd itself.
            self.failure = error
            self.settled.set()
        finally:
            for client in self.clients:
                client.close()
            self.epoll.close()

    def serve_clients(self):
        end = time.monotonic() + MAX_LIFETIME_S
        for client in self.clients:
            self.open(client)
        next_piece = time.monotonic()
        while not self.stopping.is_set() and time.monotonic() < end:
            for descriptor, events in self.epoll.poll(POLL_S):
                self.handle(self.by_descriptor[descriptor], events)
            if self.script.interval_s and time.monotonic() >= next_piece:
                next_piece = time.monotonic() + self.script.interval_s
                self.trickle()
            self.reopen()
            if all(client.socket is None or self.at_rest(client) for client in self.clients):
                self.settled.set()

    def at_rest(self, client):
        opened = client.sent >= len(self.script.opening)
        return client.complete() or (opened and self.script.interval_s > 0)

    def open(self, client):
        connecting = client.connect(self.address, self.segment_bytes)
        self.by_descriptor[client.socket.fileno()] = client
        wanted = select.EPOLLRDHUP | (0 if self.at_rest(client) else select.EPOLLOUT)
        self.epoll.register(client.socket, wanted)
        if not connecting:
            self.drop(client)

    def drop(self, client):
        self.closed_by_peer += 1
        del self.by_descriptor[client.socket.fileno()]
        self.epoll.unregister(client.socket)
        client.close()
        client.retry_at = time.monotonic() + RECONNECT_DELAY_S

    def handle(self, client, events):
        if events & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self.drop(client)
            return
        self.send(client)
        if client.socket and self.at_rest(client):
            self.epoll.modify(client.socket, select.EPOLLRDHUP)

    def send(self, client):
        try:
            self.sent_bytes += client.send_piece()
        except OSError:
            self.drop(client)

    def trickle(self):
        for client in self.clients:
            opened = client.socket and client.sent >= len(self.script.opening)
            if opened and not client.complete():
                self.send(client)

    def reopen(self):
        now = time.monotonic()
        for client in self.clients:
            if client.socket is None and self.reconnects_left > 0 and now >= client.retry_at:
                self.reconnects_left -= 1
                self.open(client)
