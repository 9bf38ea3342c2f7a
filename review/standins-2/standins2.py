"""Stand-ins for the users' platform and its engines, strict clients, and a runner of daemons, for the
cases of the second review. Needs the standard library only.

The daemons run as the deploy file starts them, with settings made from its template.
"""

import http.server
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START_LIMIT_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2

LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}
# What the deploy file's template takes of the bounds, as on the sheet of recolha-norte.
BOUNDS = {"retry-budget": 0.2, "budget-window-s": 10, "retry-slack": 58}
STORE_ANSWER_S = 0.004


def request_id():
    return f"{random.getrandbits(64):016x}"


class Record:
    """What was sent, answered and run, in order of time, written to a file at the end."""

    def __init__(self, path):
        self.path = path
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []

    def add(self, text):
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    def write(self):
        with self.lock, open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Store:
    """The platform's store: objects by kind and name, one revision counter, listings in pages, and
    watches. A change is acknowledged by the return of put() and remove()."""

    def __init__(self, page=500):
        self.page = page
        self.changed = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.events = []  # (revision, kind, object, removed)
        self.silent_before = 0.0  # Connections that were opened before never answer again.
        self.on_page = None  # Called with the kind and the page after a listing was answered.

    def write(self, kind, name, spec):
        """Must be called with the lock held."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["create-revision"] if known else self.revision
        entry = {"meta": {"name": name, "rev": self.revision, "create-revision": created,
                          "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = entry
        self.events.append((self.revision, kind, entry, False))
        self.changed.notify_all()
        return entry

    def put(self, kind, name, spec):
        with self.changed:
            return self.write(kind, name, spec)

    def put_if(self, kind, name, spec, revision):
        """Replaces an object with this revision, or creates it if the revision is None. Returns the
        status and the object."""
        with self.changed:
            known = self.objects.get((kind, name))
            if revision is None and known is not None:
                return 409, known
            if revision is not None and known is None:
                return 404, {}
            if revision is not None and known["meta"]["rev"] != revision:
                return 409, known
            return 200, self.write(kind, name, spec)

    def listing(self, kind, after):
        with self.changed:
            names = sorted(name for of, name in self.objects
                           if of == kind and (after is None or name > after))
            return {"items": [self.objects[(kind, name)] for name in names[:self.page]],
                    "truncated": len(names) > self.page, "store-revision": self.revision}

    def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [{"object": entry, "removed": removed}
                          for revision, of, entry, removed in self.events
                          if revision > since and of == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "store-revision": self.revision}
                self.changed.wait(left)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.opened = time.monotonic()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", fields=()):
        lines = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'Error'}",
                 *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.wfile.flush()


def store_handler(store):
    class StoreHandler(Handler):
        def answer(self, status, content):
            time.sleep(STORE_ANSWER_S)
            while self.opened < store.silent_before:
                time.sleep(0.1)
            self.reply(status, json.dumps(content).encode(),
                       [("Content-Type", "application/json")])

        def do_GET(self):
            parts = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            _, _, kind, *names = parts.path.split("/")
            if names:
                entry = store.objects.get((kind, names[0]))
                self.answer(200 if entry else 404, entry or {})
            elif "watch" in query:
                wait_s = int(query.get("wait-ms", 0)) / 1000
                self.answer(200, store.watch(kind, int(query["watch"]), wait_s))
            else:
                page = store.listing(kind, query.get("since-rev"))
                self.answer(200, page)
                if store.on_page is not None:
                    store.on_page(kind, page)

        def do_POST(self):
            kind = urlsplit(self.path).path.split("/")[2]
            entry = json.loads(self.body())
            self.answer(*store.put_if(kind, entry["meta"]["name"], entry["spec"], None))

        def do_PUT(self):
            _, _, kind, name = urlsplit(self.path).path.split("/")[:4]
            entry = json.loads(self.body())
            self.answer(*store.put_if(kind, name, entry["spec"], entry["meta"].get("rev")))

    return StoreHandler


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        """Daemons close connections at any time."""


def serve(handler):
    """Returns the port."""
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


def server_entry(service, port, zone, state="ready", cold_ms=0, slots=6):
    return {"service": service, "addr": f"127.0.0.1:{port}", "zone": zone, "version": "v1",
            "slots": slots, "state": state, "cold-left-ms": cold_ms, "seq": 1}


def route(name, prefix, kind, service, attempts=1):
    """A route like those of the pages' registo-recolha and leitura-tanque, for everyone."""
    return {"name": name, "host": "api.example", "path-prefix": prefix, "kind": kind,
            "timeout-ms": 1500, "slo-ms": 300, "priority": 2, "service": service,
            "attempts": attempts, "public": True}


def manifest(services, routes):
    return {"version": 1, "limits": LIMITS, "tenants": [], "services": services, "routes": routes}


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def fill_template(text, fields):
    """Fills the gaps that the deploy file's template has: {{a.b}}, {{a.0}} and {{a|json}}."""
    def value_of(gap):
        path, _, form = gap[1].partition("|")
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, text)


class Daemon:
    """A daemon on a loopback address of its own, started with the deploy file's command."""

    def __init__(self, work, number, zone, zones, store_port):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split()
        self.ip = f"127.0.0.{10 + number}"
        self.port, self.ready_port = free_port(self.ip), free_port(self.ip)
        peers = free_port(self.ip)
        fields = {"node": f"front-{zone}-{number}", "zone": zone, "ip": self.ip,
                  "zones": {name: "norte" for name in zones}, "port-range": [peers, peers],
                  "listen": {"front": f"{self.ip}:{self.port}",
                             "ready": f"{self.ip}:{self.ready_port}"},
                  "platform": {"addr": f"127.0.0.1:{store_port}"}, "bounds": BOUNDS,
                  "limits": {"cpu-share": 0.25, "memory-mb": 260, "max-fds": 4100,
                             "link-mbps": 1000.0}}
        self.settings = os.path.join(work, f"boot-{number}")
        self.log = os.path.join(work, f"log-{number}")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template, \
                open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(fill_template(template.read(), fields))
        self.start()

    def start(self):
        program = os.path.join(ROOT, self.command[0])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([program, f"--config={self.settings}"], cwd=ROOT,
                                            stdout=log, stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port), timeout=1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + START_LIMIT_S
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError(f"{self.settings} did not become ready")
            time.sleep(0.02)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process.poll() is None:
            self.kill()


class Answer:
    """What a strict client makes of the bytes that it received: the status, the fields and the body,
    whether the answer is complete, and why the bytes are no answer in HTTP/1.1 (RFC 9112)."""

    TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
    STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5]\d\d) [\t \x21-\x7e\x80-\xff]*")
    NOT_IN_VALUES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

    def __init__(self, data, ended_in_order):
        self.status, self.fields, self.body = 0, {}, b""
        self.is_complete, self.fault = False, ""
        head, separator, rest = data.partition(b"\r\n\r\n")
        if separator:
            self.read_head(head)
            self.read_body(rest, ended_in_order)

    def read_head(self, head):
        status_line, *lines = head.split(b"\r\n")
        found = self.STATUS_LINE.fullmatch(status_line)
        if found is None:
            self.fault = f"status line {status_line!r}"
            return
        self.status = int(found[1])
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or self.TOKEN.fullmatch(name) is None:
                self.fault = f"field line {line!r} has no valid name"
            elif self.NOT_IN_VALUES.search(value):
                self.fault = f"field line {line!r} has an invalid value"
            self.fields[name.lower().decode("latin-1")] = value.strip().decode("latin-1")

    def read_body(self, rest, ended_in_order):
        if "content-length" in self.fields:
            length = int(self.fields["content-length"])
            self.body, self.is_complete = rest[:length], len(rest) >= length
        elif "transfer-encoding" in self.fields:
            self.is_complete = rest.endswith(b"0\r\n\r\n")
            self.body = rest
        else:
            self.body, self.is_complete = rest, ended_in_order


def call(daemon, method, path, caller_id, body=b"", timeout_s=4):
    """Sends a request on a new connection; returns the answer."""
    data, ended_in_order = b"", True
    with socket.create_connection((daemon.ip, daemon.port), timeout=timeout_s) as connection:
        head = (f"{method} {path} HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {caller_id}\r\n"
                f"X-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n")
        try:
            connection.sendall(head.encode() + body)
            while received := connection.recv(65536):
                data += received
        except OSError:
            ended_in_order = False
    return Answer(data, ended_in_order)


def run_clients(threads, per_second, until, send):
    """Calls send() from threads, per_second times in all, until the time until."""
    def loop(seed):
        pause = random.Random(seed)
        while time.monotonic() < until:
            try:
                send()
            except OSError:
                pass
            time.sleep(pause.expovariate(per_second / threads))

    clients = [threading.Thread(target=loop, args=(seed,)) for seed in range(threads)]
    for client in clients:
        client.start()
    return clients


def stop_at_time_limit(_signal, _frame):
    raise RuntimeError("over the time limit")


def play(record_path, case):
    """Runs case(record, work, daemons), which returns whether the rule held; ends the daemons and
    the process, and writes the record."""
    signal.signal(signal.SIGTERM, stop_at_time_limit)
    record = Record(record_path)
    daemons = []
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as work:
        try:
            result = HELD if case(record, work, daemons) else BROKEN
        except Exception as error:  # The case could not run, whatever the reason.
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
        finally:
            for daemon in daemons:
                daemon.end()
    record.add(f"exit {result}")
    record.write()
    os._exit(result)  # The threads of the stand-ins need not end.
