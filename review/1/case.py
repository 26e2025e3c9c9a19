"""Lines of turns with a long pause, beside a planned restart of a storage machine."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import CannotRun, call, main

LINES = 40
RETENTION_S = 60.0
TRIES = 6
# 1.5 x the time of the turns and their pauses, 66 s.
AIM_S = 99.0
CONFIG = {
    "version": 7,
    "routes": [{"name": "title-history", "host": "desk.example", "prefix": "/turn/", "type": "streaming",
                "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1, "service": "docket-llm", "maxAttempts": 2,
                "keepContext": True, "retentionS": RETENTION_S, "public": False, "sticky": True, "resumable": False,
                "gapAimMs": 400}],
    "services": [{"name": "docket-llm", "healthCheck": "/health", "maxConnections": 160,
                  "engine": {"slots": 12, "tokenStride": 22}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "title-co", "apiKeys": ["key-a"], "ratePerS": 309, "burst": 309}],
}


def case(site, trouble):
    site.store.put("op/config", CONFIG)
    servers = [site.server(f"i-{number}", "docket-llm", "ds-selma") for number in (1, 2)]
    edges = [site.machine("edge-ds-selma-1", "ds-selma"), site.machine("edge-ds-macon-1", "ds-macon")]
    restarted = site.machine("storage-ds-natchez-1", "ds-natchez", has_disk=True)
    others = [site.machine(f"storage-{zone}-1", zone, has_disk=True) for zone in ("ds-selma", "ds-macon")]
    site.start(edges, [restarted, *others])
    began = time.monotonic()
    answered_at = {}

    def wait_until(seconds):
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    def name(line, turn, attempt=0):
        return f"{line:04x}c0de{turn:02x}{attempt:02x}beef"

    def send(edge, line, turn, attempt=0):
        headers = [("Burdockroad-Program-Id", f"a{line:04x}"), ("Burdockroad-Session-Id", f"b{line:04x}"),
                   ("Burdockroad-Program-Deadline-Ms", str(int(1000 * (began + AIM_S - time.monotonic())))),
                   ("Burdockroad-Token-Budget", "4576"), ("Burdockroad-Token-Count", "1840,572")]
        if turn > 1:
            headers.append(("Burdockroad-Previous-Turn", name(line, turn - 1)))
        return call(site, edge, "POST", "/turn/2f", name(line, turn, attempt), headers, f"input {line}.{turn}\n".encode())

    def send_turn(turn):
        """Sends one turn of each line, several lines at a time."""
        def part(first):
            for line in range(first, LINES, 10):
                answer = send(edges[0], line, turn)
                if answer.status == 200 and answer.complete:
                    answered_at[line, turn] = time.monotonic()
        threads = [threading.Thread(target=part, args=(first,)) for first in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    send_turn(1)
    send_turn(2)

    # Planned work: a storage machine is stopped and started again. The third turn of each line ends meanwhile, within
    # `retentionS` of the second one.
    wait_until(57)
    starting = threading.Timer(0.5, restarted.start)
    if trouble:
        restarted.signal(signal.SIGTERM)
        restarted.process.wait()
        starting.start()
    send_turn(3)
    if trouble:
        starting.join()

    # The lines go on through another zone, more than `contactMs` later and soon after the third turn.
    wait_until(66)
    firsts = [send(edges[1], 1000 + number, 1).status for number in range(10)]
    lines = sorted({line for line, turn in answered_at if turn == 3})
    if not lines or firsts.count(200) < 9:
        raise CannotRun(f"{len(lines)} lines, first turns {firsts}")
    breaks = []

    def go_on(line):
        statuses = []
        for attempt in range(TRIES):
            in_time = time.monotonic() - answered_at[line, 3] < RETENTION_S
            answer = send(edges[1], line, 4, attempt)
            if in_time:
                statuses.append(answer.status)
            if answer.status != 503:
                break
            time.sleep(0.3)
        ran = any(server.runs_of(name(line, 4, attempt)) for server in servers for attempt in range(TRIES))
        if not ran and len(statuses) >= 5:
            breaks.append(f"LOST: the turn after {name(line, 3)} reached no server in {len(statuses)} tries: {statuses}")
        elif not ran and any(status in (404, 410) for status in statuses):
            breaks.append(f"LOST: the turn after {name(line, 3)} was answered {statuses[-1]}")

    threads = [threading.Thread(target=go_on, args=(line,)) for line in lines]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.record.line(f"lines    {len(lines)} went on; {len(breaks)} reached no server")
    return breaks


main(case)
