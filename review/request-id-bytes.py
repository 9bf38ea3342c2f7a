"""Sends one request whose X-Request-Id has a byte above 0x7f to a route with stages, and prints
which daemons ended by themselves. With the argument "order" the manifest's stage 0 depends on its
stage 1, and the request is an ordinary one."""

import os
import socket
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
from standins import (SITES, Daemon, Engine, Store, manifest, read_answer, request_bytes,
                      run_script)

SITE = SITES["siriwan-match"]
HOST = "jepu9.example"
IS_ORDER = "order" in sys.argv
PIECES = {"slots": 1, "queue": 2, "batch": 8, "call-ms": 150.0, "item-ms": 16.0,
          "headroom-mb": 39.0, "handle-s": 4.0, "link-mbps": 10000}


def play(record, work, daemons):
    store = Store(record)
    for service in ("model", "stage"):
        for number, zone in enumerate(SITE.zones):
            engine = Engine(record, f"{service}-{number}", service, zone)
            store.put("servers", engine.identity, engine.spec())
    stages = [{"service": "stage", "since-rev": [], "bytes": 1000}]
    if IS_ORDER:
        stages.insert(0, {"service": "stage", "since-rev": [1], "bytes": 1000})
    store.put("config", "main", manifest(
        [{"name": "model", "health-path": "/health", "max-conns": 370},
         {"name": "stage", "health-path": "/health", "max-conns": 370, "pieces": PIECES}],
        [{"name": "r-1", "host": HOST, "path-prefix": "/r/", "kind": "safe", "timeout-ms": 6000,
          "slo-ms": 3000, "priority": 0, "service": "model", "attempts": 2, "public": False,
          "stages": stages}]))
    daemons += [Daemon(work, number, SITE, store) for number in range(3)]
    for daemon in daemons:
        daemon.wait_ready()
    time.sleep(2)
    data = request_bytes(HOST, "/r/x", "cafe" if IS_ORDER else "@", 6000, "POST", b"",
                         [("X-Pieces", "0,0" if IS_ORDER else "1"), ("X-Piece-Key", "ab")])
    with socket.create_connection(daemons[0].address, timeout=8) as connection:
        connection.sendall(data.replace(b"@", b"caf\xe9"))
        answer = read_answer(connection)
    time.sleep(1)
    codes = [daemon.process.poll() for daemon in daemons]
    print(f"status {answer.status} {answer.body!r} {answer.error}; exit codes {codes}")
    return answer.status == 200 and codes == [None, None, None]


run_script(os.devnull, play)
