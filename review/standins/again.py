"""A bad client: calls of a class that does not exist, some hundred at once on one connection, and the same
call again the moment it is turned away. It reads whatever is sent to it.

Usage: again.py PORT SECONDS CALLS_AT_ONCE
"""

import select
import socket
import sys
import time

from common import call, hex_id, unpack

port, seconds, at_once = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])
given = {"trace": hex_id(), "patience": "1000", "entity": hex_id(), "slice": "0", "set": "1", "size": "40.0"}
message = call(1, "nonesuch", given)

sock = socket.create_connection(("127.0.0.1", port))
sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
started = time.time()
sock.sendall(message)
answer = sock.recv(4096)
first = (time.time() - started, unpack(answer)[0])
length = len(answer)
sock.setblocking(False)
poll = select.poll()
to_send = bytearray(message * at_once)
part = turned_away = 0
ended = "by itself"
end = time.time() + seconds
while time.time() < end:
    poll.register(sock, select.POLLIN | (select.POLLOUT if to_send else 0))
    if not poll.poll(500):
        continue
    try:
        if to_send:
            del to_send[:sock.send(to_send)]
    except BlockingIOError:
        pass
    except ConnectionError:
        ended = "reset"
        break
    try:
        got = sock.recv(1 << 16)
        if not got:
            ended = "closed by the front"
            break
        part += len(got)
        turned_away += part // length
        to_send += message * (part // length)
        part %= length
    except BlockingIOError:
        pass
    except ConnectionError:
        ended = "reset"
        break
print(f"first answer {first[1]} after {first[0] * 1000:.0f} ms; turned away {turned_away} times in {seconds:.0f} s; ended {ended}")
