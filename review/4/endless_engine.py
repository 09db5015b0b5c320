"""An engine whose answers have a body that does not end: it sends bytes until the caller closes the connection.

Arguments: address to listen on, the engine's id, and the bytes a second that its link carries to all callers together.
Everything else of it is sound: it checks ``Expect-Instance``, echoes ``Request-Id`` and reports its load.
"""

import json
import socket
import sys
import threading
import time

JUNK = b"\x7f" * 65_536
PIECE_S = 0.02


class Link:
    """Shares the bytes a second of the engine's link among its connections."""

    def __init__(self, bytes_per_s):
        self._lock = threading.Lock()
        self._bytes_per_s = bytes_per_s
        self._free_at = time.monotonic()

    def take(self, count):
        with self._lock:
            now = time.monotonic()
            start = max(self._free_at, now - PIECE_S)
            self._free_at = start + count / self._bytes_per_s
        if start > now:
            time.sleep(start - now)


def serve(connection, name, link):
    with connection:
        data = b""
        while b"\r\n\r\n" not in data:
            more = connection.recv(65_536)
            if not more:
                return
            data += more
        head = data.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
        headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
        path = head[0].split(" ")[1]
        if path == "/v1/report":
            report = {"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": 0, "running": 0}
            body = json.dumps(report | {"kv_used": 0, "kv_total": 500000, "handles": 0}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance") not in (None, name):
            answer = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            connection.sendall(answer.encode())
            return
        print("run", request_id, flush=True)
        answer = f"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {request_id}\r\nContent-Length: 99999999999\r\n\r\n"
        connection.sendall(answer.encode())
        while True:
            link.take(len(JUNK))
            connection.sendall(JUNK)


def quietly(connection, name, link):
    try:
        serve(connection, name, link)
    except OSError:
        pass


def main():
    host, port = sys.argv[1].split(":")
    link = Link(float(sys.argv[3]))
    listener = socket.create_server((host, int(port)), backlog=256)
    print("listening", "{}:{}".format(*listener.getsockname()), flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=quietly, args=(connection, sys.argv[2], link), daemon=True).start()


if __name__ == "__main__":
    main()
