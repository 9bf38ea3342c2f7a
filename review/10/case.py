#!/usr/bin/env python3
"""An endpoint begins to drain while a daemon that has just started reads the list of endpoints, which
takes several pages. See claim.txt."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True
from standins2 import (Daemon, Handler, Store, call, manifest, play, request_id, route,
                       run_clients, serve, server_entry, store_handler)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = os.path.join(FOLDER, "record.txt")
ZONE = "kacyiru"
PAGE = 50
OTHER_ENDPOINTS = 113  # With the three of studio-desk, as many as krc-harelink-grown has.
DRAINING = "i-000"
REQUESTS_PER_S = 12
PLAY_S = 14
DRAIN_S = 3.0
CONTACT_S = 4.0

arrivals = []  # (time, endpoint, request id)


def endpoint_handler(identity, record):
    class EndpointHandler(Handler):
        def do_GET(self):
            self.body()
            if self.headers.get("X-Expect-Instance") != identity:
                self.reply(421)
                return
            caller_id = self.headers["X-Request-Id"]
            arrivals.append((time.monotonic(), identity, caller_id))
            record.add(f"{identity} runs {caller_id}")
            time.sleep(random.uniform(0.015, 0.045))
            self.reply(200, b"." * 800, [("X-Request-Id", caller_id),
                                         ("X-Server-Seal", f"{identity}.{caller_id}")])

        do_POST = do_GET

    return EndpointHandler


def case(record, work, daemons):
    store = Store(page=PAGE)
    port = serve(store_handler(store))
    store.put("config", "main", manifest(
        [{"name": "studio-desk", "health-path": "/health", "max-conns": 530},
         {"name": "lm-pool", "health-path": "/health", "max-conns": 790}],
        [route("slot", "/slot/", "unsafe", "studio-desk"),
         route("job", "/job/", "safe", "studio-desk", attempts=2)]))
    ports = {f"i-{number:03}": 0 for number in range(3)}
    for identity in ports:
        ports[identity] = serve(endpoint_handler(identity, record))
        store.put("servers", identity, server_entry("studio-desk", ports[identity], ZONE))
    for number in range(OTHER_ENDPOINTS):
        store.put("servers", f"i-{number + 100}", server_entry("lm-pool", 1 + number, ZONE))
    daemons.append(Daemon(work, 0, ZONE, [ZONE], port))
    daemon = daemons[0]
    daemon.wait_ready()
    time.sleep(4)

    acknowledged = []
    first = threading.Lock()

    def drain(when):
        with first:
            if not acknowledged:
                store.put("servers", DRAINING, server_entry("studio-desk", ports[DRAINING], ZONE,
                                                            state="draining"))
                acknowledged.append(time.monotonic())
                record.add(f"{DRAINING} is draining, acknowledged {when}")

    def drain_after_first_page(kind, page):
        if kind == "servers" and page["truncated"]:
            drain("after the daemon's first page of the list")

    record.add("the daemon is killed and started again")
    daemon.kill()
    if HAS_TROUBLE:
        store.on_page = drain_after_first_page
    daemon.start()
    started = time.monotonic()
    daemon.wait_ready()
    record.add("the daemon is ready")
    time.sleep(0.5)
    drain("when the daemon has read the list")

    answers = []

    def send():
        caller_id = request_id()
        method, path = random.choices((("POST", "/slot/1"), ("GET", "/job/1")), (8.3, 3.8))[0]
        record.add(f"sent {caller_id} {method} {path}")
        answer = call(daemon, method, path, caller_id, b"{}" if method == "POST" else b"")
        answers.append(answer)
        record.add(f"answered {caller_id}: {answer.status}")

    for client in run_clients(12, REQUESTS_PER_S, time.monotonic() + PLAY_S, send):
        client.join()
    # The daemon is in touch from CONTACT_S after its start.
    bound = max(acknowledged[0] + DRAIN_S, started + CONTACT_S)
    late = [entry for entry in arrivals if entry[1] == DRAINING and entry[0] > bound]
    for at, identity, caller_id in late:
        record.add(f"DRAIN {caller_id} reached {identity} {at - acknowledged[0]:.3f} s after the ack")
    served = sum(1 for answer in answers if 200 <= answer.status < 300)
    record.add(f"{len(answers)} answers, {served} successes, {len(late)} requests reached a draining "
               "endpoint too late")
    if served < len(answers) / 2:
        raise RuntimeError("most requests were not served")
    print(record.lines[-1])
    return not late


play(RECORD, case)
