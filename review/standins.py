"""Stand-ins for the users' platform, its endpoints and callers, and a runner of daemons with the
settings of the deploy file. Times are those of the steady clock, from the start of the script."""

import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_LIMIT_S = 15
STORE_ANSWER_S = 0.004
PAGE_OBJECTS = 500
HISTORY_S = 20


class Site:
    """What a daemon's settings hold of a site, for machines of one class."""

    def __init__(self, region, zones, cpu_share, memory_mb, link_mbps, bounds):
        self.region = region
        self.zones = zones
        self.cpu_share = cpu_share
        self.memory_mb = memory_mb
        self.link_mbps = link_mbps
        self.bounds = {"seed-lag-s": 3, "reuse-s": 2, "drain-ms": 2000, "grace-s": 8,
                       "loss-slack-ms": 200, "converge-ms": 2000, "rollback-slack-ms": 250,
                       "strict-revoke": False, "revoke-ms": 5000, "retry-budget": 0.2,
                       "budget-window-s": 10, "contact-ms": 3000, **bounds}


SITES = {
    "siriwan-match": Site("th-north", ("cnx-a", "cnx-b", "cnx-c"), 0.25, 260, 1000.0,
                          {"retry-slack": 52, "recover-s": 12}),
}
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


def troubled():
    """Returns whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{now():8.3f} {event} {text}\n")
            self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Daemons close connections of callers that have left."""
        if not isinstance(sys.exc_info()[1], (BrokenPipeError, ConnectionResetError)):
            super().handle_error(request, client_address)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            data = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                data += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return data
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    raw = {}  # By text: what is sent in place of a string, for what json.dumps can't write.

    def reply_json(self, status, content):
        text = json.dumps(content)
        for name, raw in self.raw.items():
            text = text.replace(json.dumps(name), raw)
        self.reply(status, text.encode(), [("Content-Type", "application/json")])


def serve(handler, ip="127.0.0.1"):
    """Serves on a free port; returns the server."""
    server = Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Store:
    """The platform's metadata store. Removals raise the revision like other changes."""

    def __init__(self, record, page=PAGE_OBJECTS):
        self.changed = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        self.forgotten = 0
        self.record = record
        self.page = page
        self.cut_after_s = None  # Cuts each watch that has waited for this time.
        self.calls = 0
        server = serve(self.handler())
        self.address = f"127.0.0.1:{server.server_address[1]}"

    def commit(self, kind, entry, removed=False):
        """Records a change; the lock is held."""
        self.revision += 1
        entry["meta"]["rev"] = self.revision
        self.history.append((now(), self.revision, kind, json.loads(json.dumps(entry)), removed))
        self.changed.notify_all()

    def put(self, kind, name, spec):
        """Writes as the operator or an endpoint; returns the time of the acknowledgement."""
        with self.changed:
            entry = self.objects.get((kind, name))
            if entry is None:
                entry = {"meta": {"name": name, "rev": 0, "create-revision": self.revision + 1,
                                  "finalizers": [], "deleting": False}, "spec": spec,
                         "status": None}
                self.objects[(kind, name)] = entry
            entry["spec"] = spec
            self.commit(kind, entry)
            at = now()
        self.record.write("store-put", kind=kind, name=name, rev=entry["meta"]["rev"])
        return at

    def remove(self, kind, name):
        with self.changed:
            self.commit(kind, self.objects.pop((kind, name)), removed=True)
            at = now()
        self.record.write("store-removed", kind=kind, name=name)
        return at

    def list(self, kind, after):
        with self.changed:
            names = sorted(name for of, name in self.objects if of == kind and name > after)
            items = [json.loads(json.dumps(self.objects[(kind, name)]))
                     for name in names[:self.page]]
            return {"items": items, "truncated": len(names) > self.page,
                    "store-revision": self.revision}

    def watch(self, kind, since, wait_s):
        """Returns the answer; None if the history is gone, False if the watch is cut."""
        def events():
            return [{"object": entry, "removed": removed}
                    for _, revision, of, entry, removed in self.history
                    if of == kind and revision > since]
        begin = now()
        with self.changed:
            while not events():
                waited = now() - begin
                if self.cut_after_s is not None and waited >= self.cut_after_s:
                    return False
                if waited >= wait_s:
                    break
                self.changed.wait(min(0.02, wait_s - waited))
            if since < self.forgotten:
                return None
            return {"events": events(), "store-revision": self.revision}

    def write(self, kind, name, body, is_new, rev):
        """Returns status and object of a write by the system."""
        with self.changed:
            entry = self.objects.get((kind, name))
            if is_new and entry is not None:
                return 409, entry
            if not is_new and entry is None:
                return 404, {}
            if not is_new and rev is not None and rev != entry["meta"]["rev"]:
                return 409, entry
            if entry is None:
                entry = {"meta": {"name": name, "rev": 0, "create-revision": self.revision + 1,
                                  "finalizers": [], "deleting": False}, "spec": None,
                         "status": None}
                self.objects[(kind, name)] = entry
            elif entry["spec"] == body.get("spec"):
                return 200, entry
            entry["spec"] = body.get("spec")
            self.commit(kind, entry)
            return 200, entry

    def handler(store):
        class StoreHandler(Handler):
            def split(self):
                parts = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                path = parts.path.split("/")
                return path[2], path[3] if len(path) > 3 else "", query

            def do_GET(self):
                kind, name, query = self.split()
                store.calls += 1
                time.sleep(STORE_ANSWER_S)
                if name:
                    entry = store.objects.get((kind, name))
                    self.reply_json(200 if entry else 404, entry or {})
                elif "watch" in query:
                    answer = store.watch(kind, int(query["watch"]),
                                         min(30, int(query.get("wait-ms", 0)) / 1000))
                    if answer is False:
                        store.record.write("watch-cut", kind=kind, since=query["watch"])
                        self.close_connection = True
                    elif answer is None:
                        self.reply_json(410, {})
                    else:
                        self.reply_json(200, answer)
                else:
                    self.reply_json(200, store.list(kind, query.get("since-rev", "")))

            def do_POST(self):
                kind, _, _ = self.split()
                body = json.loads(self.body())
                time.sleep(STORE_ANSWER_S)
                self.reply_json(*store.write(kind, body["meta"]["name"], body, True, None))

            def do_PUT(self):
                kind, name, query = self.split()
                body = json.loads(self.body())
                time.sleep(STORE_ANSWER_S)
                rev = body.get("meta", {}).get("rev", query.get("rev"))
                self.reply_json(*store.write(kind, name, body, False,
                                             None if rev is None else int(rev)))

            def do_DELETE(self):
                kind, name, query = self.split()
                time.sleep(STORE_ANSWER_S)
                with store.changed:
                    entry = store.objects.get((kind, name))
                    if entry is None:
                        self.reply_json(404, {})
                        return
                    if "rev" in query and int(query["rev"]) != entry["meta"]["rev"]:
                        self.reply_json(409, entry)
                        return
                    store.commit(kind, store.objects.pop((kind, name)), removed=True)
                self.reply_json(200, entry)

        return StoreHandler


class Engine:
    """An engine of a plain service. Records each request that it begins to work on."""

    def __init__(self, record, identity, service, zone, slots=6, work_s=0.06, body=b"x" * 800):
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.answer = body
        self.runs = []  # (time, request id)
        self.is_listed = False
        self.lock = threading.Lock()
        self.server = serve(self.handler())
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def spec(self, state="ready"):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold-left-ms": 0, "seq": 1}

    def end(self):
        """Ends the engine: new connections are refused."""
        self.server.shutdown()
        self.server.server_close()
        self.record.write("engine-ended", engine=self.identity)

    def handler(engine):
        class EngineHandler(Handler):
            def do_GET(self):
                if self.path == "/health":
                    self.reply(200, b"", [("X-Instance-Id", engine.identity)])
                else:
                    self.run()

            def do_POST(self):
                self.run()

            def run(self):
                self.body()
                request = self.headers.get("X-Request-Id", "")
                expected = self.headers.get("X-Expect-Instance", engine.identity)
                if expected != engine.identity:
                    self.reply(421, b"", [("X-Instance-Id", engine.identity)])
                    return
                if not request:
                    self.reply(400, b"", [("X-Not-Run", "1")])
                    return
                with engine.lock:
                    engine.runs.append((now(), request))
                engine.record.write("run", request=request, engine=engine.identity)
                time.sleep(engine.work_s)
                self.reply(200, engine.answer, [("X-Request-Id", request),
                                                ("X-Server-Seal", f"{engine.identity}.{request}")])

        return EngineHandler


def fill_template(fields):
    """Fills the settings template of the deploy file as the platform does."""
    with open(os.path.join(ROOT, "deploy/harelinkd.jsonc"), encoding="utf-8") as file:
        text = file.read()

    def value(match):
        name, _, form = match[1].partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, work, number, site, store):
        zone = site.zones[number % len(site.zones)]
        self.name = f"front-{zone}-{number // len(site.zones) + 1}"
        self.ip = f"127.0.0.{10 + number}"
        listen = {name: f"{self.ip}:{free_port(self.ip)}" for name in ("front", "ready", "control")}
        self.address = (self.ip, int(listen["front"].split(":")[1]))
        self.ready_address = (self.ip, int(listen["ready"].split(":")[1]))
        peers = free_port(self.ip)
        fields = {"node": self.name, "zone": zone, "zones": {name: site.region for name in site.zones},
                  "ip": self.ip, "port-range": [peers, peers], "listen": listen,
                  "limits": {"cpu-share": site.cpu_share, "link-mbps": site.link_mbps,
                             "memory-mb": site.memory_mb, "max-fds": 4100},
                  "platform": {"addr": store.address}, "bounds": site.bounds}
        self.settings = os.path.join(work, f"{self.name}.jsonc")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill_template(fields))
        self.log = os.path.join(work, f"{self.name}.log")
        self.process = None
        self.start()

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target/bin/harelinkd"), f"--config={self.settings}"],
                stdout=log, stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            with socket.create_connection(self.ready_address, timeout=1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self):
        end = now() + START_LIMIT_S
        while now() < end:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
            # A stopped process ends by SIGKILL too.
        self.process.wait()


class Answer:
    """What a caller got."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.error = ""


def read_answer(connection, on_bytes=None):
    """Reads one answer from a socket. An answer without its whole body is not whole."""
    answer = Answer()
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                answer.error = "closed before the head was whole"
                return answer
            data += more
        head, _, data = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, text = line.partition(":")
            answer.headers[name.strip().lower()] = text.strip()
        answer.body = data
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            raw = data
            while not raw.endswith(b"0\r\n\r\n"):
                more = connection.recv(65536)
                if not more:
                    answer.body = raw
                    answer.error = "closed within the body"
                    return answer
                raw += more
            answer.body = raw
            answer.is_whole = True
            return answer
        size = int(answer.headers.get("content-length", 0))
        while len(answer.body) < size:
            more = connection.recv(min(65536, size - len(answer.body)))
            if not more:
                answer.error = f"closed after {len(answer.body)} of {size} bytes"
                return answer
            answer.body += more
            if on_bytes is not None:
                on_bytes(len(answer.body))
        answer.is_whole = True
    except OSError as error:
        answer.error = f"{type(error).__name__} after {len(answer.body)} bytes of the body"
    return answer


def request_bytes(host, path, request_id, deadline_ms, method="GET", body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", "Authorization: Token key-of-the-agency"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def manifest(services, routes, version=1):
    return {"version": version,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "agencia", "api-keys": ["key-of-the-agency"]}],
            "services": services, "routes": routes}


def run_script(record_path, play):
    """Runs play(record, work, daemons), which writes to record_path; it returns whether the rule held. Exits as the review
    asks: 0 if it held, 1 if it was broken, 2 if the case couldn't run."""
    record = Record(record_path)
    work = tempfile.mkdtemp()
    daemons = []
    code = 2
    # Ends the daemons also when the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = 0 if play(record, work, daemons) else 1
    except Exception:
        traceback.print_exc()
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for daemon in daemons:
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {work}")
        else:
            shutil.rmtree(work, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)
