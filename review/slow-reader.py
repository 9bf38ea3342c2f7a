"""Callers read a stream at a steady rate that fits their deadline; prints how each stream ended.
Usage: slow-reader.py BYTES_PER_S BYTES [unframed]. Entries steady-slow-reader and
unframed-stream-after-a-pause of KNOWN-RED.txt."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)
from standins import (SITES, Daemon, Engine, Handler, Store, manifest, now, request_bytes,
                      run_script)

SITE = SITES["siriwan-match"]
HOST = "h.example"
RATE = int(sys.argv[1])
TOTAL = int(sys.argv[2])
IS_UNFRAMED = "unframed" in sys.argv
DEADLINE_MS = 20000
EVENT_BYTES = 500
CALLERS = 4


class StreamEngine(Engine):
    def handler(engine):
        class StreamHandler(Handler):
            def do_POST(self):
                self.body()
                request = self.headers["X-Request-Id"]
                self.send_response(200)
                framing = ("Connection", "close") if IS_UNFRAMED else ("Transfer-Encoding", "chunked")
                for name, value in [("X-Request-Id", request), ("X-Server-Seal", "s"),
                                    ("Content-Type", "text/event-stream"), framing]:
                    self.send_header(name, value)
                self.end_headers()
                for number in range(1, TOTAL // EVENT_BYTES + 1):
                    self.send(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES))
                self.send(b"")
                engine.record.write("engine-done", request=request)

            def send(self, data):
                self.wfile.write(data if IS_UNFRAMED else b"%x\r\n%s\r\n" % (len(data), data))
                self.close_connection = IS_UNFRAMED

        return StreamHandler


def read_slowly(daemon, number, ends):
    with socket.create_connection(daemon.address, timeout=DEADLINE_MS / 1000) as connection:
        begin = now()
        connection.sendall(request_bytes(HOST, "/r/x", f"{number:016x}", DEADLINE_MS, "POST", b"{}"))
        read = 0
        tail = b""
        while not tail.endswith(b"0\r\n\r\n"):
            data = connection.recv(4096)
            if not data:
                ends.append(f"cut after {read} B, {now() - begin:.1f} s")
                return
            read += len(data)
            tail = (tail + data)[-8:]
            time.sleep(max(0, begin + read / RATE - now()))
        ends.append(f"complete after {now() - begin:.1f} s")


def play(record, work, daemons):
    store = Store(record)
    for number, zone in enumerate(SITE.zones):
        engine = StreamEngine(record, f"i-{number}", "model", zone, slots=64)
        store.put("servers", engine.identity, engine.spec())
    store.put("config", "main", manifest(
        [{"name": "model", "health-path": "/health", "max-conns": 370}],
        [{"name": "r-1", "host": HOST, "path-prefix": "/r/", "kind": "stream",
          "timeout-ms": DEADLINE_MS, "slo-ms": 2000, "priority": 0, "service": "model",
          "attempts": 1, "public": False, "can-resume": False}]))
    daemons.append(Daemon(work, 0, SITE, store))
    daemons[0].wait_ready()
    time.sleep(1)
    ends = []
    threads = [threading.Thread(target=read_slowly, args=(daemons[0], number, ends))
               for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"{RATE} B/s of {TOTAL} B: {ends}")
    return all(end.startswith("complete") for end in ends)


run_script(os.devnull, play)
