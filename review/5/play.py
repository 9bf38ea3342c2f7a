"""The store cuts watches that wait. An endpoint that never sets draining removes its entry and
goes on serving for a while, as the pages tell; no request may reach it later than drain-ms."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (SITES, Daemon, Engine, Store, manifest, now, read_answer,
                      request_bytes, run_script, troubled)

SITE = SITES["siriwan-match"]
HOST = "jeye25.example"
DEADLINE_MS = 3000
REQUESTS_PER_S = 30
ENGINES = 6
# The time that a watch waits before the store cuts it.
CUT_AFTER_S = 1.6
CONTACT_S = SITE.bounds["contact-ms"] / 1000
DRAIN_S = SITE.bounds["drain-ms"] / 1000
# "for just as long": drain-ms plus a little longer.
SERVES_ON_S = DRAIN_S + 4


def call(record, daemon, request, answers):
    try:
        with socket.create_connection(daemon.address, timeout=DEADLINE_MS / 1000) as connection:
            record.write("sent", request=request, to=daemon.name)
            connection.sendall(request_bytes(HOST, "/records/7", request, DEADLINE_MS, "POST",
                                             b"{}"))
            answer = read_answer(connection)
    except OSError as error:
        record.write("answered", request=request, status=0, error=f"'{error}'")
        return
    answers[request] = answer
    record.write("answered", request=request, status=answer.status, whole=answer.is_whole)


def send_for(record, daemons, answers, time_s, threads):
    end = now() + time_s
    while now() < end:
        number = len(threads)
        threads.append(threading.Thread(target=call, args=(
            record, daemons[number % len(daemons)], f"{number:016x}", answers)))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)


def play(record, work, daemons):
    store = Store(record)
    engines = [Engine(record, f"i-{number}", "recolhas", SITE.zones[number % 3])
               for number in range(ENGINES)]
    for engine in engines:
        store.put("servers", engine.identity, engine.spec())
    store.put("config", "main", manifest(
        [{"name": "recolhas", "health-path": "/health", "max-conns": 110, "proto": "h1",
          "tls": False}],
        [{"name": "r-1", "host": HOST, "path-prefix": "/records/", "kind": "unsafe",
          "timeout-ms": 1500, "slo-ms": 300, "priority": 2, "service": "recolhas", "attempts": 1,
          "public": False, "sticky": False, "can-resume": False}]))
    daemons += [Daemon(work, number, SITE, store) for number in range(3)]
    for daemon in daemons:
        daemon.wait_ready()
    time.sleep(CONTACT_S + 0.5)
    answers = {}
    threads = []
    if troubled():
        store.cut_after_s = CUT_AFTER_S
    send_for(record, daemons, answers, 4, threads)
    leaving = max(engines, key=lambda engine: len(engine.runs))
    acknowledged = store.remove("servers", leaving.identity)
    send_for(record, daemons, answers, SERVES_ON_S, threads)
    store.cut_after_s = None
    for thread in threads:
        thread.join()
    before = sum(at <= acknowledged for at, _ in leaving.runs)
    late = [at - acknowledged for at, _ in leaving.runs if at > acknowledged + DRAIN_S]
    last = max((at - acknowledged for at, _ in leaving.runs), default=0)
    served = sum(answer.status == 200 and answer.is_whole for answer in answers.values())
    print(f"sent {len(threads)}, served {served}, run by the leaving endpoint before it left "
          f"{before}, later than drain-ms after the ack: {len(late)}, the last {last:.2f} s after it")
    if before == 0:
        raise RuntimeError("the endpoint got no request before it left")
    return not late


run_script(os.path.join(FOLDER, "record.txt"), play)
