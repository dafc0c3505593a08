"""`eiderpin try`: a demonstration that runs a dispatcher, three simulated workers and some jobs on loopback,
and prints each step."""

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

CONFIG_TEMPLATE = """\
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


class DemoWorker:
    """A simulated worker: it accepts a job with status 202, and reports its start and its end by callbacks.

    Attributes:
        name: Its name in the configuration.
        run_s: How long each job runs, in seconds.
        dispatcher: Host and port of the dispatcher, to be set before the first job.
        server: Its HTTP server, which listens on a free port of loopback.
    """

    def __init__(self, name: str, run_s: float) -> None:
        """Start the HTTP server."""
        self.name, self.run_s = name, run_s
        self.dispatcher = ("", 0)
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, format: str, *args: Any) -> None:
                """Log no requests; the demonstration prints its own lines."""

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                job = str(self.headers["Req-Id"])
                click.echo(f"  {worker.name} takes {job}")
                self.send_response(202)
                self.send_header("Content-Length", "0")
                self.end_headers()
                threading.Thread(target=worker.run_job, args=(job,), daemon=True).start()

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def run_job(self, job: str) -> None:
        """Report the start of a job, wait as long as it runs, and report its result."""
        self.report_state(job, "started")
        time.sleep(self.run_s)
        self.report_state(job, "done", result=f"{job} by {self.name}")

    def report_state(self, job: str, state: str, **fields: str) -> None:
        """Call the dispatcher back with the state of a job and further fields of the callback."""
        send_request(
            self.dispatcher,
            "POST",
            "/_jobs/news",
            {"id": job, "from": self.name, "state": state, **fields},
        )


def send_request(
    address: tuple[str, int], method: str, path: str, payload: Any = None, **headers: str
) -> tuple[int, str]:
    """Send an HTTP request with `payload` as JSON; return the status and the body of the response.

    Underscores in the names of `headers` become hyphens. Raises `OSError` and `http.client.HTTPException`.
    """
    connection = http.client.HTTPConnection(*address, timeout=30)
    try:
        body = json.dumps(payload) if payload is not None else None
        connection.request(
            method, path, body, {name.replace("_", "-"): value for name, value in headers.items()}
        )
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


@click.command("try")
@click.option("--jobs", default=6, show_default=True, type=click.IntRange(1, 1000))
def try_it(jobs: int) -> None:
    """Run a demonstration. It needs no configuration and leaves nothing behind."""
    workers = [DemoWorker("quick-1", 0.05), DemoWorker("quick-2", 0.05), DemoWorker("slow", 0.4)]
    rows = "".join(
        f'[[workers]]\nname = "{worker.name}"\naddress = "127.0.0.1:{worker.server.server_address[1]}"\n'
        for worker in workers
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "try.toml"
        path.write_text(CONFIG_TEMPLATE.format(workers=rows))
        env = {**os.environ, "EIDERPIN_LOG_FORMAT": "json", "EIDERPIN_FRONTS": ""}
        command = [sys.executable, "-O", "-m", "eiderpin", "run", "--config", str(path)]
        process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True)
        try:
            run_demo(process, workers, jobs)
        finally:
            process.send_signal(signal.SIGTERM)
            process.communicate()
    click.echo(f"The dispatcher has answered all requests and ended, exit code {process.returncode}.")


def run_demo(process: subprocess.Popen[str], workers: list[DemoWorker], jobs: int) -> None:
    """Wait until the dispatcher listens, send it the jobs one after the other, and print what happens.

    Raises `click.ClickException` if the dispatcher does not start.
    """
    assert process.stderr is not None
    line = process.stderr.readline()
    try:
        host, _, port = str(json.loads(line)["edge"]).rpartition(":")
    except (ValueError, KeyError):
        raise click.ClickException(f"the dispatcher did not start: {line}{process.stderr.read()}") from None
    address = (host, int(port))
    for worker in workers:
        worker.dispatcher = address
    click.echo(f"A dispatcher listens at {host}:{port}; {len(workers)} workers: "
               + ", ".join(f"{w.name} ({w.run_s * 1000:.0f} ms a job)" for w in workers))  # fmt: skip
    click.echo(f"Its health check reports: {send_request(address, 'GET', '/_health')[1].strip()}")
    for number in range(jobs):
        cls = "result-post" if number % 3 == 2 else "time-lookup"
        job, started = f"{cls}-{number + 1}", time.monotonic()
        click.echo(f"A client sends {job}")
        status, result = send_request(address, "POST", f"/{cls}", {"runner": number}, Req_Id=job)
        elapsed_ms = (time.monotonic() - started) * 1000
        click.echo(f"  answered {status} after {elapsed_ms:.0f} ms: {result.strip()}")
