"""Starts a small fleet of oliveworks processes on loopback, for demonstrations and fault tests.

Uses the standard library only. Ends every process that it started, by process id.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROFILE = os.environ.get("OLIVEWORKS_PROFILE", "dev")
PARTNERS = ("saffah", "sahel")

# A script that is terminated early, for example by `timeout`, must not leave its fleet running. The
# exception runs the `finally` block that ends every process.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def build():
    """Builds the binaries, unless OLIVEWORKS_BUILT is set."""
    if os.environ.get("OLIVEWORKS_BUILT"):
        return
    command = ["cargo", "build", "--workspace", "--locked", "--quiet", "--profile", PROFILE]
    subprocess.run(command, cwd=ROOT, check=True)


def binary(name):
    """Returns the path of a built binary."""
    target = os.environ.get("CARGO_TARGET_DIR", os.path.join(ROOT, "target"))
    folder = "debug" if PROFILE == "dev" else PROFILE
    return os.path.join(target, folder, name)


class Ports:
    """Allocator of free ports. Holds the ports until all are allocated, so that they differ."""

    def __init__(self):
        self.sockets = []

    def tcp(self):
        return self._allocate(socket.SOCK_STREAM)

    def udp(self):
        return self._allocate(socket.SOCK_DGRAM)

    def _allocate(self, kind):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind(("127.0.0.1", 0))
        self.sockets.append(sock)
        return sock.getsockname()[1]

    def release(self):
        for sock in self.sockets:
            sock.close()


def request(url, method="GET", body=None, headers=None, timeout=10):
    """Sends one HTTP request. Returns the status, the headers and the complete body."""
    parts = urllib.parse.urlsplit(url)
    conn = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    headers = dict(headers or {})
    if isinstance(body, (dict, list)):
        headers.setdefault("content-type", "application/json")
    try:
        conn.request(method, path, data, headers)
        answer = conn.getresponse()
        return answer.status, dict((k.lower(), v) for k, v in answer.getheaders()), answer.read()
    finally:
        conn.close()


class Fleet:
    """Fleet of a platform, entries, agents and backend servers."""

    def __init__(self, entries=3, models=12, services=2, domains=2, engine_args=(),
                 platform_args=(), unchecked_every=3, extra_agent="", extra_entry=""):
        self.dir = tempfile.mkdtemp(prefix="oliveworks-")
        self.procs = {}
        self.commands = {}
        self.engine_args = list(engine_args)
        self.platform_args = list(platform_args)
        self.unchecked_every = unchecked_every
        self.extra_agent = extra_agent
        self.extra_entry = extra_entry
        ports = Ports()
        self.platform_port = ports.tcp()
        self.entry_ports = {
            e: {"listen": ports.tcp(), "admin": ports.tcp(), "peer": ports.udp()}
            for e in range(1, entries + 1)
        }
        hosts = range(1, models + services + 1)
        self.host_ports = {
            h: {"peer": ports.udp(), "admin": ports.tcp(), "backend": ports.tcp()} for h in hosts
        }
        ports.release()
        self.models = list(range(1, models + 1))
        self.services = list(range(models + 1, models + services + 1))
        # Model hosts of one fabric domain have consecutive numbers: 1 to n are in the first domain,
        # the following ones in the next.
        self.domain = {h: 1 + (h - 1) * domains // models for h in self.models}
        self.domain.update({h: 1 + i % domains for i, h in enumerate(self.services)})
        self.platform = f"http://127.0.0.1:{self.platform_port}"
        self.tokens = {}

    # Keys and settings

    def path(self, name):
        return os.path.join(self.dir, name)

    def ctl(self, *args, partner=None, check=True, output="json"):
        """Runs oliveworksctl. Returns its output, parsed if it is JSON."""
        command = [binary("oliveworksctl"), "--output", output]
        if partner:
            command += ["--context", self.path(f"{partner}.yaml")]
        done = subprocess.run(command + list(args), capture_output=True, text=True)
        if check and done.returncode != 0:
            raise RuntimeError(f"oliveworksctl {args}: {done.stdout} {done.stderr}")
        return json.loads(done.stdout) if output == "json" and done.stdout.strip() else done.stdout

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text)

    def make_keys(self):
        self.ctl("keys", "authority", "--dir", self.dir)
        names = [f"entry-{e}" for e in self.entry_ports] + [f"host-{h}" for h in self.host_ports]
        self.ctl("keys", "issue", *names, "--dir", self.dir)
        self.public = {n: self.ctl("keys", "record", n, "--dir", self.dir)["public"]
                       for n in ("system",) + PARTNERS}
        self.operator = self.ctl("keys", "token")
        self.tokens = {p: self.ctl("keys", "token") for p in PARTNERS}

    def shared_settings(self, name):
        entries = "".join(
            f"  - {{entry: {e}, region: one, peer: '127.0.0.1:{p['peer']}'}}\n"
            for e, p in self.entry_ports.items())
        partners = "".join(f"    {p}: '{self.public[p]}'\n" for p in PARTNERS)
        return (f"region: one\nplatform: {self.platform}\nentries:\n{entries}"
                f"tls:\n  ca: {self.path('ca.pem')}\n  cert: {self.path(name + '.pem')}\n"
                f"  key: {self.path(name + '.key')}\n"
                f"record_keys:\n  partners:\n{partners}  system: '{self.public['system']}'\n")

    def write_settings(self):
        for e, p in self.entry_ports.items():
            name = f"entry-{e}"
            self.write(f"{name}.yaml", self.shared_settings(name) + (
                f"entry: {e}\nfailure_domain: zone-{e}\nlisten: 127.0.0.1:{p['listen']}\n"
                f"admin: 127.0.0.1:{p['admin']}\npeer: 127.0.0.1:{p['peer']}\n"
                f"system_key: {self.path('system.key')}\n"
                f"operator_token_digest: '{self.operator['digest']}'\n{self.extra_entry}"))
        for h, p in self.host_ports.items():
            name = f"host-{h}"
            checks = "false" if h in self.services or h % self.unchecked_every == 0 else "true"
            self.write(f"{name}.yaml", self.shared_settings(name) + (
                f"host: {h}\ndomain: {self.domain[h]}\npeer: 127.0.0.1:{p['peer']}\n"
                f"admin: 127.0.0.1:{p['admin']}\n"
                f"backend: {{url: 'http://127.0.0.1:{p['backend']}', checks_fences: {checks}, "
                f"order_max_ms: 2000}}\n{self.extra_agent}"))
        for partner in PARTNERS:
            entries = "".join(f"  - http://127.0.0.1:{p['admin']}\n"
                              for p in self.entry_ports.values())
            self.write(f"{partner}.yaml", (
                f"platform: {self.platform}\nentries:\n{entries}"
                f"operator_token: {self.operator['token']}\npartner: {partner}\n"
                f"partner_key: {self.path(partner + '.key')}\n"))

    def template(self, partner, name, hosts=4, spares=0, replicas=1, priority=5, kind="model",
                 repeatable=True, version="1", concurrent=32):
        """Returns a template as YAML."""
        return (f"  - partner: {partner}\n    workspace: main\n    name: {name}\n    kind: {kind}\n"
                f"    model: {name}\n    version: '{version}'\n    hosts: {hosts}\n"
                f"    spares: {spares}\n    replicas: {replicas}\n    priority: {priority}\n"
                f"    repeatable: {str(repeatable).lower()}\n"
                f"    limits: {{concurrent: {concurrent}, deadline_ms: 20000}}\n")

    def publish(self, partner, templates, shares=None, wait=True, check=True):
        """Publishes templates together with the partner's workspace."""
        digest = self.tokens[partner]["digest"]
        text = (f"workspaces:\n  - partner: {partner}\n    workspace: main\n"
                f"    tokens: ['{digest}']\ntemplates:\n" + "".join(templates))
        if shares:
            text += "shares: " + json.dumps(shares) + "\n"
        self.write(f"{partner}-templates.yaml", text)
        args = ["publish", self.path(f"{partner}-templates.yaml")] + (["--wait"] if wait else [])
        return self.ctl(*args, partner=partner, check=check)

    # Processes

    def start(self, role, *command):
        """Starts a process. Its output goes to the log file of its role."""
        self.commands[role] = command
        log = open(self.path(f"{role}.log"), "ab")
        self.procs[role] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        log.close()

    def restart(self, role):
        self.start(role, *self.commands[role])

    def kill(self, role, sig=signal.SIGKILL, wait=True):
        """Sends a signal to a process of this fleet, and waits for its end if `wait` is set."""
        proc = self.procs[role]
        if proc.poll() is None:
            os.kill(proc.pid, sig)
        if wait:
            proc.wait(timeout=150)

    def pause(self, role):
        os.kill(self.procs[role].pid, signal.SIGSTOP)

    def resume(self, role):
        os.kill(self.procs[role].pid, signal.SIGCONT)

    def start_backend(self, h):
        p = self.host_ports[h]
        kind = "service" if h in self.services else "engine"
        args = ["--listen", f"127.0.0.1:{p['backend']}", "--host", str(h), "--domain",
                str(self.domain[h]), "--agent", f"127.0.0.1:{p['peer']}", "--platform",
                self.platform]
        if kind == "service":
            args += ["--name", "booking"]
        else:
            checks = [] if h % self.unchecked_every == 0 else ["--checks-fences"]
            args += self.engine_args + checks
        self.start(f"backend-{h}", binary("oliveworks-standin"), kind, *args)

    def start_agent(self, h):
        self.start(f"agent-{h}", binary("oliveworks-agent"), "--settings",
                   self.path(f"host-{h}.yaml"))

    def start_entry(self, e):
        self.start(f"entry-{e}", binary("oliveworks-entry"), "--settings",
                   self.path(f"entry-{e}.yaml"))

    def start_all(self):
        """Creates keys and settings, starts all processes and waits until the entries are ready."""
        self.make_keys()
        self.write_settings()
        self.start("platform", binary("oliveworks-standin"), "platform", "--listen",
                   f"127.0.0.1:{self.platform_port}", *self.platform_args)
        self.wait_until("the platform answers",
                        lambda: request(self.platform + "/faults")[0] == 200)
        for h in self.host_ports:
            self.start_backend(h)
            self.start_agent(h)
        for e in self.entry_ports:
            self.start_entry(e)
        for e, p in self.entry_ports.items():
            url = f"http://127.0.0.1:{p['admin']}/ready"
            self.wait_until(f"entry-{e} is ready", lambda url=url: request(url)[0] == 200)

    def wait_until(self, what, test, within=40):
        """Waits until `test` returns a true value, and returns that value.

        Raises TimeoutError after `within` seconds, and RuntimeError if a process fails.
        """
        end = time.monotonic() + within
        while True:
            try:
                result = test()
                if result:
                    return result
            except OSError:
                pass
            if time.monotonic() > end:
                raise TimeoutError(f"condition not met within {within} s: {what}")
            for role, proc in self.procs.items():
                if proc.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                    raise RuntimeError(
                        f"process {role} ended with status {proc.poll()}:\n{self.log(role)}")
            time.sleep(0.05)

    def log(self, role, lines=15):
        with open(self.path(f"{role}.log"), errors="replace") as file:
            return "".join(file.readlines()[-lines:])

    def stop_all(self):
        """Ends all processes of this fleet by process id, and removes their files."""
        for proc in self.procs.values():
            if proc.poll() is None:
                os.kill(proc.pid, signal.SIGCONT)
                os.kill(proc.pid, signal.SIGKILL)
        for proc in self.procs.values():
            proc.wait()
        shutil.rmtree(self.dir, ignore_errors=True)

    # State and requests

    def status(self, e=None):
        for entry in [e] if e else list(self.entry_ports):
            url = f"http://127.0.0.1:{self.entry_ports[entry]['admin']}/admin/status"
            try:
                headers = self.auth_headers(self.operator["token"])
                code, _, body = request(url, headers=headers, timeout=3)
            except OSError:
                continue
            if code == 200:
                return json.loads(body)
        return None

    def serving(self, name=None):
        """Returns the serving groups by group id, according to the status of all entries."""
        groups = {}
        for e in self.entry_ports:
            for group in (self.status(e) or {"groups": []})["groups"]:
                if group["serving"] and group["state"] == "active":
                    if name is None or f"/{name}#" in group["replica"]:
                        groups[group["group"]] = group
        return groups

    def wait_serving(self, counts, within=40):
        """Waits until each template has at least the given number of serving groups."""
        def test():
            return all(len(self.serving(name)) >= n for name, n in counts.items())
        self.wait_until(f"groups serve: {counts}", test, within)

    def caller_url(self, e):
        return f"http://127.0.0.1:{self.entry_ports[e]['listen']}"

    @staticmethod
    def auth_headers(token):
        return {"authorization": f"Bearer {token}"}

    def chat(self, e, partner, model, text, tokens=None, stream=False, headers=None, timeout=30):
        """Sends a chat completion. Returns the status, and the text of the answer or the refusal.

        The text is None if a streamed answer is incomplete.
        """
        body = {"model": model, "messages": [{"role": "user", "content": text}], "stream": stream}
        if tokens:
            body["max_tokens"] = tokens
        all_headers = {**self.auth_headers(self.tokens[partner]["token"]), **(headers or {})}
        code, _, data = request(self.caller_url(e) + "/v1/chat/completions", "POST", body,
                                all_headers, timeout)
        if code != 200:
            return code, json.loads(data)
        if not stream:
            return code, json.loads(data)["choices"][0]["message"]["content"]
        return code, join_stream(data.decode())

    def book(self, e, key, partner="saffah", headers=None, timeout=10):
        """Sends a booking to the plain service."""
        all_headers = {**self.auth_headers(self.tokens[partner]["token"]), **(headers or {})}
        return request(self.caller_url(e) + "/services/booking/book", "POST", {"id": key},
                       all_headers, timeout)

    def booking_counts(self):
        """Returns how often each booking ran, summed over all services."""
        total = {}
        for h in self.services:
            url = f"http://127.0.0.1:{self.host_ports[h]['backend']}/counts"
            try:
                _, _, body = request(url, timeout=3)
            except OSError:
                continue
            for key, n in json.loads(body).items():
                total[key] = total.get(key, 0) + n
        return total

    def set_faults(self, **faults):
        """Sets the platform's faults. Faults that are not given are ended."""
        request(self.platform + "/faults", "POST", faults)


def join_stream(text):
    """Returns the text of a streamed answer, or None if the answer is incomplete."""
    out, done = "", False
    for line in text.splitlines():
        if not line.startswith("data: "):
            continue
        if line == "data: [DONE]":
            done = True
            continue
        chunk = json.loads(line[6:])
        if "error" in chunk:
            return None
        for choice in chunk["choices"]:
            out += choice.get("delta", {}).get("content", "")
    return out if done else None


def expected(text, tokens=16):
    """Returns the answer that the stand-in engine gives to a prompt."""
    words = text.split()
    return " ".join(words[i % len(words)] for i in range(tokens))


def fail(message):
    print(f"FAILED: {message}", file=sys.stderr)
    return 1
