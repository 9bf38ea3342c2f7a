"""Stand-ins for the users' platform and a runner of daemons, for tests with real processes."""

import http.client
import http.server
import json
import os
import re
import subprocess
import sys
import threading
import time
from urllib.parse import parse_qs, urlsplit

START_LIMIT_S = 10


class Store:
    """The object store, with one revision counter."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.removed = {}
        self.watch_delay_s = 0  # Of updates to watches that wait.
        self.raw = {}  # By text: the bytes that are sent in place of a string with that text.

    def put(self, kind, name, spec):
        with self.lock:
            self.revision += 1
            meta = {"name": name, "rev": self.revision, "create-revision": self.revision,
                    "finalizers": [], "deleting": False}
            self.objects[(kind, name)] = {"meta": meta, "spec": spec, "status": None}
            self.removed.pop((kind, name), None)
            self.lock.notify_all()
            return self.objects[(kind, name)]

    def remove(self, kind, name):
        with self.lock:
            self.revision += 1
            entry = self.objects.pop((kind, name))
            entry["meta"]["rev"] = self.revision
            self.removed[(kind, name)] = entry
            self.lock.notify_all()

    def encode(self, content):
        data = json.dumps(content).encode()
        for text, raw in self.raw.items():
            data = data.replace(json.dumps(text).encode(), raw)
        return data

    def list(self, kind, after=-1):
        return self.entries(self.objects, kind, after)

    @staticmethod
    def entries(objects, kind, after):
        return [entry for (of, _), entry in objects.items()
                if of == kind and entry["meta"]["rev"] > after]

    def events(self, kind, after):
        events = [{"object": entry, "removed": is_removed}
                  for is_removed, objects in ((False, self.objects), (True, self.removed))
                  for entry in self.entries(objects, kind, after)]
        return sorted(events, key=lambda event: event["object"]["meta"]["rev"])

    def watch(self, kind, after, wait_s):
        with self.lock:
            if wait_s > 0 and self.lock.wait_for(lambda: self.events(kind, after), timeout=wait_s):
                self.lock.wait_for(lambda: False, timeout=self.watch_delay_s)
            return {"events": self.events(kind, after), "store-revision": self.revision}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def reply(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else body.encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


def store_handler(store, is_away=None, is_silent=None):
    """While the event is_away is set, connections end without an answer. While is_silent is set,
    they get none and stay open."""
    class StoreHandler(Handler):
        def reply(self, status, body, headers=()):
            if is_silent is not None and is_silent.is_set():
                while is_silent.is_set():
                    time.sleep(0.05)
                self.close_connection = True
                return
            if is_away is not None and is_away.is_set():
                self.close_connection = True
                return
            super().reply(status, body, headers)

        def do_GET(self):
            parts = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            kind = parts.path.split("/")[2]
            if "watch" in query:
                wait_s = int(query.get("wait-ms", 0)) / 1000
                self.reply(200, store.encode(store.watch(kind, int(query["watch"]), wait_s)))
                return
            self.reply(200, store.encode({"items": store.list(kind), "truncated": False,
                                          "store-revision": store.revision}))

        def do_POST(self):
            kind = urlsplit(self.path).path.split("/")[2]
            entry = json.loads(self.body())
            self.reply(200, json.dumps(store.put(kind, entry["meta"]["name"], entry["spec"])))

        def do_PUT(self):
            _, _, kind, name = urlsplit(self.path).path.split("/")[:4]
            self.reply(200, json.dumps(store.put(kind, name, json.loads(self.body())["spec"])))

    return StoreHandler


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Daemons close connections of callers that have left."""
        if not isinstance(sys.exc_info()[1], (BrokenPipeError, ConnectionResetError)):
            super().handle_error(request, client_address)


def serve(handler):
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


class Daemon:
    """A daemon that uses the store. Its other limits and its retries are those that are given."""

    def __init__(self, binary, work, name, data_centre, store_port, retries=None, **limits):
        self.name = name
        settings = {"host": name, "dataCentre": data_centre, "dialect": "fleet",
                    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                               "peers": "127.0.0.1:0"},
                    "platform": f"127.0.0.1:{store_port}", "callerTrust": "balancer",
                    "peerTrust": "network", "readyPath": "/ready",
                    "limits": {"workers": 2, "platformTimeoutMs": 800, **limits},
                    **({"retries": retries} if retries else {})}
        path = os.path.join(work, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = path + ".log"
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen([binary, "--config", path], stdout=log,
                                            stderr=subprocess.STDOUT)
        ports = self.wait_for(r"callers on port (\d+), for operators on (\d+)")
        self.port, self.operators = int(ports[1]), int(ports[2])

    def wait_for(self, pattern):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            with open(self.log, encoding="utf-8") as log:
                found = re.search(pattern, log.read())
            if found:
                return found
            time.sleep(0.05)
        sys.exit(f"no line like '{pattern}' in the log of {self.name}")

    def wait_ready(self):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            connection = http.client.HTTPConnection("127.0.0.1", self.operators)
            connection.request("GET", "/ready")
            if connection.getresponse().status == 200:
                return
            time.sleep(0.05)
        sys.exit(f"{self.name} is not ready")

    def kill(self):
        self.process.kill()
        self.process.wait()
