"""Runs a router whose connections to engines go through forwarders: ``LINKS_FILE --settings FILE``."""

import json
import socket
import sys
from pathlib import Path

from wagtailtrestle.cli import router


def redirect(targets_by_address):
    """Make connections of this process to an engine go to its forwarder instead."""
    connect = socket.socket.connect

    def connect_by_link(sock, address):
        if sock.family == socket.AF_INET:
            target = targets_by_address.get(f"{address[0]}:{address[1]}")
            if target is not None:
                host, _, port = target.rpartition(":")
                address = (host, int(port))
        return connect(sock, address)

    socket.socket.connect = connect_by_link


if __name__ == "__main__":
    redirect(json.loads(Path(sys.argv.pop(1)).read_text()))
    router.main()
