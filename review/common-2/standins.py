"""Stand-ins of the second independent review: the platform's store, servers, clients, and the processes of the
system. Standard library only. All addresses are loopback addresses.

The store follows PROTOCOL.md ("The platform's metadata store"), servers follow "Servers", and settings follow
DEPLOY.md ("Settings of a process"). Where a page is silent, the stand-ins behave like a sound store, server or client.
"""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "burdockroad-platform")
HOST = "ficu95.example"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - STARTED, text))
            self.file.flush()


class Network:
    """Loopback addresses of their own for this run."""

    def __init__(self):
        self.a, self.b = 32 + os.getpid() // 250 % 190, 1 + os.getpid() % 250
        self.next = 1

    def address(self):
        number, self.next = self.next, self.next + 1
        return "127.%d.%d.%d" % (self.a, self.b, number)


def free_port(ip="0.0.0.0"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                part = self.rfile.read(size)
                self.rfile.readline()
                if size == 0:
                    return b"".join(parts)
                parts.append(part)
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], (OSError, ValueError)):
            super().handle_error(request, client_address)


class Store:
    """The platform's store: one revision counter, watches, transactions and leases."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.down = False
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                store.serve(self, "GET")

            def do_POST(self):
                store.serve(self, "POST")

            def do_DELETE(self):
                store.serve(self, "DELETE")

        self.server = QuietServer((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value):
        """Writes a key in the place of the operator or of a server."""
        text = json.dumps(value, separators=(",", ":")).encode()
        with self.changed:
            self.revision += 1
            self.write(key, base64.b64encode(text).decode(), 0)
            self.changed.notify_all()
            return self.revision

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix):
        with self.changed:
            return sorted(key for key in self.items if key.startswith(prefix))

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.erase(key)
            self.changed.notify_all()

    def write(self, key, value, lease):
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "createdRev": created, "lease": lease}
        self.items[key] = item
        self.events.append(dict(item))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "rev": self.revision, "removed": True})

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [lease for lease, until in self.leases.items() if until[0] <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.erase(key)
            self.changed.notify_all()
        return True

    def serve(self, handler, method):
        body = handler.body()
        if self.down:
            return self.answer(handler, 503, {"error": "down"})
        url = urllib.parse.urlsplit(handler.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        status, answer = self.call(method, url.path, query, json.loads(body) if body else {})
        self.answer(handler, status, answer)

    def answer(self, handler, status, answer):
        text = json.dumps(answer, separators=(",", ":")).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        handler.wfile.write(text)
        handler.wfile.flush()

    def call(self, method, path, query, body):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (404, {"asOf": self.revision}) if item is None else (200, dict(item, asOf=self.revision))
            if path == "/kv-range":
                after = query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
                page = []
                size = 0
                for key in keys:
                    size += len(self.items[key]["value"])
                    if page and (len(page) >= 500 or size > 1 << 20):
                        break
                    page.append(self.items[key])
                truncated = len(page) < len(keys)
                return 200, {"items": page, "truncated": truncated, "asOf": self.revision}
            if path == "/kv-watch":
                return self.watch(query)
            if path == "/kv-txn":
                return self.transaction(body)
            if path == "/kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                ttl = max(1000, min(600000, int(body["ttlMs"])))
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttlMs": ttl}
            if path.startswith("/kv-lease-end/"):
                return (200, {}) if self.end_lease(int(path.rsplit("/", 1)[1])) else (404, {})
        return 404, {}

    def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0 or self.down:
                return 200, {"events": events, "asOf": self.revision}
            self.changed.wait(left)

    def transaction(self, body):
        conditions = body.get("precondition", [])
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                states = [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in conditions]
                return 412, {"items": states}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        self.revision += 1
        for put in puts:
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        self.changed.notify_all()
        return 200, {"rev": self.revision}


class Server:
    """A server of a service. `respond(handler, run)` answers a request that runs."""

    def __init__(self, ip, identity, service, record, respond, zone="ds-selma", slots=12):
        self.identity, self.record, self.respond = identity, record, respond
        self.runs = []
        self.lock = threading.Lock()
        server = self

        class Handler(QuietHandler):
            def do_GET(self):
                server.serve(self)

            def do_POST(self):
                server.serve(self)

        self.http = QuietServer((ip, 0), Handler)
        self.address = "%s:%d" % self.http.server_address
        self.entry = {"service": service, "address": self.address, "zone": zone, "version": "v1", "slots": slots,
                      "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": int(time.time() * 1000)}
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def serve(self, handler):
        body = handler.body()
        headers = handler.headers
        if handler.path == "/health":
            return self.send(handler, 200, b"", {"Burdockroad-Instance-Id": self.identity})
        identity = headers.get("Burdockroad-Request-Id")
        if headers.get("Burdockroad-Target-Instance", self.identity) != self.identity:
            return self.send(handler, 421, b"", {"Burdockroad-Request-Id": identity, "Burdockroad-Not-Executed": "1"})
        run = {"id": identity, "path": handler.path, "body": body, "headers": dict(headers.items()),
               "at": time.monotonic()}
        with self.lock:
            self.runs.append(run)
        self.record.line("server %s runs %s (%s, %d bytes)" % (self.identity, identity, handler.path, len(body)))
        self.respond(handler, run)

    def head(self, run):
        return {"Burdockroad-Request-Id": run["id"], "Burdockroad-Response-Signature": "3e1b.07." + run["id"]}

    def send(self, handler, status, body, headers):
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)
        handler.wfile.flush()

    def open_stream(self, handler, run):
        handler.send_response(200)
        for name, value in self.head(run).items():
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.wfile.flush()

    def send_event(self, handler, number, data):
        event = b"id: %d\ndata: %s\n\n" % (number, data)
        handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.flush()

    def end_stream(self, handler):
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


class Process:
    """A process of the system, started with the command of deploy/system.toml."""

    def __init__(self, site, name, machine_class, zone, memory_mb):
        self.site, self.name, self.machine_class, self.memory_mb = site, name, machine_class, memory_mb
        self.ip = site.network.address()
        self.front = "%s:8368" % self.ip
        self.settings = os.path.join(site.folder, name + ".json")
        self.data_dir = os.path.join(site.folder, "data-" + name) if machine_class == "storage" else None
        if self.data_dir:
            os.makedirs(self.data_dir)
        is_edge = machine_class == "edge"
        listen = {"front": self.front, "readyAddr": "%s:8369" % self.ip} if is_edge else {}
        settings = {
            "nodeName": name, "role": "gateway" if is_edge else "disk", "machineClass": machine_class,
            "serves": [machine_class], "ip": self.ip, "zone": zone, "region": "deep-south",
            "zones": {zone: "deep-south" for zone in site.zones}, "listen": listen, "portRange": [7780, 7795],
            "seeds": [], "bootstrap": True, "lossCounts": not is_edge,
            "limits": {"cpuShare": 0.25 if is_edge else 0.5, "cpuCores": 1, "memoryMb": memory_mb,
                       "maxFds": 4100 if is_edge else 8200, "linkMbps": 1000.0 if is_edge else 600.0,
                       "diskMb": 0 if is_edge else 520},
            "dataDir": self.data_dir, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "recoveryS": 12},
            "provider": {"address": site.store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.child = None
        self.log = os.path.join(site.folder, name + ".log")
        self.start()

    def start(self):
        command = [PROGRAM]
        if self.machine_class == "edge":
            # All processes of a run share one machine, so each has a metrics port of its own.
            command += ["--metrics-port", str(free_port())]
        environment = dict(os.environ, BURDOCKROAD_CONFIG=self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                          stdout=log, stderr=log)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def lines(self, event):
        found = []
        with open(self.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if isinstance(entry, dict) and entry.get("event") == event:
                    found.append(entry)
        return found

    def memory_kb(self, field="VmRSS"):
        try:
            with open("/proc/%d/status" % self.child.pid, encoding="utf-8") as status:
                for line in status:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, 8369), 0.5) as link:
                link.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return link.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Site:
    """A small deployment: the store, processes of the system, and servers."""

    def __init__(self, folder_of_case):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the program first (deploy/system.toml)")
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.network = Network()
        self.folder = tempfile.mkdtemp(prefix="burdockroad-review-")
        self.zones = ["ds-selma", "ds-natchez", "ds-macon"]
        self.processes = []
        self.store = Store(self.network.address())

    def configure(self, routes, services, tenants, version=7):
        document = {"version": version, "routes": routes, "services": services,
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                               "idleTimeoutMs": 15000},
                    "tenants": tenants}
        self.store.put("op/config", document)
        self.record.line("operator writes version %d" % version)

    def start(self, name, machine_class, zone, memory_mb):
        process = Process(self, name, machine_class, zone, memory_mb)
        self.processes.append(process)
        return process

    def start_disk_hosts(self):
        hosts = [self.start("storage-%s-1" % zone, "storage", zone, 140) for zone in self.zones]
        wait_for("the storage processes are registered", lambda: len(
            self.store.keys("burdockroad/hosts/turns/")) == len(hosts))
        return hosts

    def register(self, server):
        self.store.put("servers/" + server.identity, server.entry)

        def beat():
            while True:
                time.sleep(1.2)
                self.store.put("servers/" + server.identity, server.entry)

        threading.Thread(target=beat, daemon=True).start()

    def close(self):
        for process in self.processes:
            if process.child and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.kill()
        for root, folders, files in os.walk(self.folder, topdown=False):
            for name in files:
                os.remove(os.path.join(root, name))
            for name in folders:
                os.rmdir(os.path.join(root, name))
        os.rmdir(self.folder)


def wait_for(what, condition, seconds=15):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRun("timed out waiting until " + what)
        time.sleep(0.02)


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete
        self.ended = time.monotonic()


def read_answer(link):
    """Reads one answer. It is complete if its framing says so."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = link.recv(65536)
        if not part:
            return Answer(0, {}, b"", False)
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()

    def more():
        nonlocal rest
        part = link.recv(65536)
        rest += part
        return bool(part)

    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in rest:
                    if not more():
                        return Answer(status, headers, body, False)
                size_line, _, rest = rest.partition(b"\r\n")
                size = int(size_line.split(b";")[0], 16)
                while len(rest) < size + 2:
                    if not more():
                        return Answer(status, headers, body + rest, False)
                body, rest = body + rest[:size], rest[size + 2:]
                if size == 0:
                    return Answer(status, headers, body, True)
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            if not more():
                return Answer(status, headers, rest, False)
        return Answer(status, headers, rest[:length], True)
    except OSError:
        return Answer(status, headers, rest, False)


def call(process, method, path, identity, body=b"", headers=None, deadline_ms=4000, key="3fexd9dnn2ctnfzs989a"):
    """Sends one request on a new connection and reads its answer; status 0 if there is none."""
    head = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "Burdockroad-Request-Id: " + identity,
            "Burdockroad-Deadline-Ms: %d" % deadline_ms, "Burdockroad-Key: " + key,
            "Content-Length: %d" % len(body), "Connection: close"]
    head += ["%s: %s" % pair for pair in (headers or {}).items()]
    try:
        ip, port = process.front.split(":")
        with socket.create_connection((ip, int(port)), 1) as link:
            link.settimeout(deadline_ms / 1000 + 2)
            link.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            return read_answer(link)
    except OSError:
        return Answer(0, {}, b"", False)


def route(name, prefix, kind, service, **more):
    entry = {"name": name, "host": HOST, "prefix": prefix, "type": kind, "timeoutMs": 4000, "targetLatencyMs": 250,
             "priority": 1, "service": service, "maxAttempts": 2, "public": False}
    entry.update(more)
    return entry


def main(play):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    status = 2
    try:
        site = Site(folder)
        site.record.line("TROUBLE=%d" % trouble)
        broken = play(site, trouble)
        site.record.line("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    except CannotRun as cause:
        print("the case could not run: %s" % cause)
        if site:
            site.record.line("could not run: %s" % cause)
    finally:
        if site:
            site.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    os._exit(status)
