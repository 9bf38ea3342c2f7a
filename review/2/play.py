"""Endpoints crash in the middle of streams that may be resumed, while some others fail a part of
their requests. A stream that a caller gets as complete must hold all of its events."""

import os
import re
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (SITES, Daemon, Engine, Handler, Store, manifest, now, read_answer,
                      request_bytes, run_script, troubled)

SITE = SITES["siriwan-match"]
HOST = "jepu9.example"
DEADLINE_MS = 8000
ENGINES = 12
CRASHED = 3            # 0.25 of the endpoints.
GREY = 1               # 0.08 of the endpoints.
GREY_PART = 0.45       # Of the requests of a grey endpoint.
GREY_STATUS = 404
EVENTS = 24
EVENT_S = 0.1
CALLERS = 400
CONTACT_S = SITE.bounds["contact-ms"] / 1000
# Daemons use their share of the retry allowance from 13 s after their start on.
SETTLED_S = 14


def event(number, request):
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class ModelEngine(Engine):
    """Streams events. A stream with Last-Event-Id goes on behind it."""

    def __init__(self, *arguments, **options):
        self.is_grey = False
        self.has_crashed = False
        self.count = 0
        super().__init__(*arguments, slots=64, **options)

    def crash(self):
        self.has_crashed = True
        self.server.socket.close()
        self.record.write("crashed", engine=self.identity)

    def fails_next(self):
        with self.lock:
            self.count += 1
            fails = int(self.count * GREY_PART) > int((self.count - 1) * GREY_PART)
        return self.is_grey and fails

    def handler(engine):
        class StreamHandler(Handler):
            def do_GET(self):
                self.reply(200, b"", [("X-Instance-Id", engine.identity)])

            def do_POST(self):
                self.body()
                request = self.headers["X-Request-Id"]
                if self.headers.get("X-Expect-Instance", engine.identity) != engine.identity:
                    self.reply(421, b"", [("X-Instance-Id", engine.identity)])
                    return
                after = int(self.headers.get("Last-Event-Id", 0))
                seal = [("X-Request-Id", request),
                        ("X-Server-Seal", f"{engine.identity}.{request}")]
                if engine.fails_next():
                    engine.record.write("failed", request=request, engine=engine.identity,
                                        after=after)
                    self.reply(GREY_STATUS, b"failed", seal)
                    return
                engine.record.write("run", request=request, engine=engine.identity, after=after)
                self.send_response(200)
                for name, value in seal + [("Content-Type", "text/event-stream"),
                                           ("X-Weight-Versions", "1"),
                                           ("Transfer-Encoding", "chunked")]:
                    self.send_header(name, value)
                self.end_headers()
                for number in range(after + 1, EVENTS + 1):
                    time.sleep(EVENT_S)
                    if engine.has_crashed:
                        self.reset()
                        return
                    data = event(number, request)
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                self.wfile.write(b"0\r\n\r\n")

            def reset(self):
                self.close_connection = True
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                self.connection.close()

        return StreamHandler


def call(record, daemon, request, answers):
    prompt = f"{request[:8]}:800,{request[8:]}:410"
    try:
        with socket.create_connection(daemon.address, timeout=DEADLINE_MS / 1000) as connection:
            record.write("sent", request=request, to=daemon.name)
            connection.sendall(request_bytes(
                HOST, "/notices/7", request, DEADLINE_MS, "POST", b"{}",
                [("X-Model", "m"), ("X-Token-Count", "1210,80"), ("X-Prompt-Prefix", prompt)]))
            answer = read_answer(connection)
    except OSError as error:
        record.write("answered", request=request, status=0, error=f"'{error}'")
        return
    answers[request] = answer
    record.write("answered", request=request, status=answer.status, complete=answer.is_whole,
                 events=answer.body.count(b"data: "), error=f"'{answer.error}'")


def is_truncated(request, answer):
    """Returns whether an answer ends as complete without all of its events, in their order."""
    ids = [int(number) for number in re.findall(rb"id: (\d+)\ndata: " + request.encode(),
                                                answer.body)]
    return answer.status == 200 and answer.is_whole and ids != list(range(1, EVENTS + 1))


def play(record, work, daemons):
    store = Store(record)
    engines = [ModelEngine(record, f"i-{number}", "modelo-leite", SITE.zones[number % 3])
               for number in range(ENGINES)]
    for engine in engines:
        store.put("servers", engine.identity, engine.spec())
    store.put("config", "main", manifest(
        [{"name": "modelo-leite", "health-path": "/health", "max-conns": 370, "proto": "h1",
          "tls": False, "engine": {"slots": 64, "kv-capacity": 614608, "models": [{"name": "m"}]}}],
        [{"name": "r-1", "host": HOST, "path-prefix": "/notices/", "kind": "stream",
          "timeout-ms": DEADLINE_MS, "slo-ms": 1600, "priority": 0, "service": "modelo-leite",
          "attempts": 2, "public": False, "sticky": True, "can-resume": True,
          "itl-target-ms": 200}]))
    daemons += [Daemon(work, number, SITE, store) for number in range(3)]
    for daemon in daemons:
        daemon.wait_ready()
    time.sleep(SETTLED_S)
    for engine in engines[CRASHED:CRASHED + GREY]:
        engine.is_grey = troubled()
    answers = {}
    threads = [threading.Thread(target=call, args=(
        record, daemons[number % len(daemons)], f"{number:016x}", answers))
        for number in range(CALLERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.004)
    if troubled():
        for engine in engines[:CRASHED]:
            engine.crash()
    for thread in threads:
        thread.join()
    truncated = [request for request, answer in answers.items() if is_truncated(request, answer)]
    whole = sum(answer.status == 200 and answer.is_whole for answer in answers.values())
    broken = sum(not answer.is_whole for answer in answers.values())
    print(f"streams {CALLERS}, complete {whole}, cut {broken}, complete without all events: "
          f"{len(truncated)}")
    if whole < CALLERS / 2:
        raise RuntimeError("most streams were not served")
    return not truncated


run_script(os.path.join(FOLDER, "record.txt"), play)
