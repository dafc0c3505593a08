"""`eiderpin try`: a dispatcher, three stand-in workers and some jobs on loopback, told line by line."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import click

CONFIG = """\
name = "try"
listen = "127.0.0.1:0"
{workers}
[settings]
weights = "silent"
tick = 4.0
classes = [
  {{ name = "time-lookup", aim = 1000.0, hard_limit = 7500.0, repeat = "free" }},
  {{ name = "result-post", aim = 1000.0, hard_limit = 20000.0, repeat = "single_shot" }},
]
family_info = {{ tells_start = true, progress = 1000.0 }}
limits = {{ may_cancel = true, retry_after = true, max_retry_after = 2000.0 }}
rules = {{ drain_grace = 500.0, grace_to_answer = 16.0, cold_share = 1.0, warm_up = 1.0 }}
"""


class Worker:
    """A worker of the platform's protocol: it takes a job with a 202 and tells of its end by a call-back."""

    def __init__(self, name: str, run_s: float) -> None:
        self.name, self.run_s = name, run_s
        self.dispatcher = ("", 0)
        me = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *args: Any) -> None:
                """What happens is told in words."""

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                job = str(self.headers["Req-Id"])
                click.echo(f"  {me.name} takes {job}")
                self.send_response(202)
                self.send_header("Content-Length", "0")
                self.end_headers()
                threading.Thread(target=me.run, args=(job,), daemon=True).start()

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def run(self, job: str) -> None:
        self.tell(job, "started")
        time.sleep(self.run_s)
        self.tell(job, "done", result=f"{job} by {self.name}")

    def tell(self, job: str, state: str, **more: str) -> None:
        call(self.dispatcher, "POST", "/_jobs/news", {"id": job, "from": self.name, "state": state, **more})


def call(at: tuple[str, int], method: str, path: str, said: Any = None, **headers: str) -> tuple[int, str]:
    conn = http.client.HTTPConnection(*at, timeout=30)
    try:
        body = json.dumps(said) if said is not None else None
        conn.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        answer = conn.getresponse()
        return answer.status, answer.read().decode()
    finally:
        conn.close()


@click.command("try")
@click.option("--jobs", default=6, show_default=True, type=click.IntRange(1, 1000))
def try_it(jobs: int) -> None:
    """See it at work: nothing is needed, nothing is left behind."""
    workers = [Worker("quick-1", 0.05), Worker("quick-2", 0.05), Worker("slow", 0.4)]
    rows = "".join(
        f'[[workers]]\nname = "{w.name}"\naddress = "127.0.0.1:{w.server.server_address[1]}"\n'
        for w in workers
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "try.toml"
        path.write_text(CONFIG.format(workers=rows))
        env = {**os.environ, "EIDERPIN_LOG_FORMAT": "json", "EIDERPIN_FRONTS": ""}
        command = [sys.executable, "-O", "-m", "eiderpin", "run", "--config", str(path)]
        process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True)
        try:
            play(process, workers, jobs)
        finally:
            process.send_signal(signal.SIGTERM)
            process.communicate()
    click.echo(f"The dispatcher has answered all and ended, exit code {process.returncode}.")


def play(process: subprocess.Popen[str], workers: list[Worker], jobs: int) -> None:
    assert process.stderr is not None
    line = process.stderr.readline()
    try:
        host, _, port = str(json.loads(line)["edge"]).rpartition(":")
    except (ValueError, KeyError):
        raise click.ClickException(f"the dispatcher did not start: {line}{process.stderr.read()}") from None
    at = (host, int(port))
    for worker in workers:
        worker.dispatcher = at
    click.echo(f"A dispatcher listens at {host}:{port}; {len(workers)} workers: "
               + ", ".join(f"{w.name} ({w.run_s * 1000:.0f} ms a job)" for w in workers))  # fmt: skip
    click.echo(f"It says of itself: {call(at, 'GET', '/_health')[1].strip()}")
    for number in range(jobs):
        cls = "result-post" if number % 3 == 2 else "time-lookup"
        job, begun = f"{cls}-{number + 1}", time.monotonic()
        click.echo(f"A client sends {job}")
        status, result = call(at, "POST", f"/{cls}", {"runner": number}, Req_Id=job)
        took = (time.monotonic() - begun) * 1000
        click.echo(f"  answered {status} after {took:.0f} ms: {result.strip()}")
