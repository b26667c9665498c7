"""Starts daemon processes with stand-ins, and reads their processor time, memory and metrics."""

import json
import os
import re
import shutil
import subprocess
import tempfile
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "target", "release")
TICKS = os.sysconf("SC_CLK_TCK")


class Process:
    """A process that prints its addresses on its first line."""

    def __init__(self, *command):
        self.child = subprocess.Popen(
            [os.path.join(BIN, command[0]), *command[1:]],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True,
        )
        self.words = self.child.stdout.readline().split()

    @property
    def http(self):
        return self.words[1]

    @property
    def link(self):
        return self.words[3]

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory_mb(self):
        with open(f"/proc/{self.child.pid}/status") as file:
            return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024

    def metric(self, name):
        text = get(self.http, "/metrics")
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name))


class System:
    """Entries, agents and stand-ins as separate processes."""

    def __init__(self, entries=2):
        self.folder = tempfile.mkdtemp()
        self.store = Process("fulmarpond-standins", "kv", "--listen", "127.0.0.1:0")
        self.store_addr = self.store.words[-1]
        self.entries = [self._daemon(f"role=entry\nname=entry-{number}",
                                     f"[platform]\nkv={self.store_addr}")
                        for number in range(entries)]
        self.agents = []
        self.endpoints = []

    def _daemon(self, role, extra):
        path = os.path.join(self.folder, f"{len(os.listdir(self.folder))}.ini")
        with open(path, "w") as file:
            file.write(f"[daemon]\n{role}\nzone=z\n[listen]\nhttp=127.0.0.1:0\nlink=127.0.0.1:0\n"
                       f"{extra}\n[log]\nlevel=error\n")
        return Process("fulmarpondd", "--settings", path)

    def add_agent(self):
        entries = ",".join(entry.link for entry in self.entries)
        number = len(self.agents)
        self.agents.append(self._daemon(f"role=agent\nname=host-{number}",
                                        f"[cluster]\nentries={entries}"))

    def add_endpoint(self, agent, slots=8):
        self.endpoints.append(Process(
            "fulmarpond-standins", "endpoint", "--listen", "127.0.0.1:0", "--agent", agent.http,
            "--slots", str(slots), "--connections", "64", "--zone", "z"))

    def load(self, *options):
        command = [os.path.join(BIN, "fulmarpond"), "load", "--json", "--team", "bench", *options]
        for process in self.entries + self.agents:
            command += ["--metrics", process.http]
        for entry in self.entries:
            command += ["--entry", entry.http]
        output = subprocess.run(command, capture_output=True, text=True).stdout
        return json.loads(output[:output.rindex("}") + 1])

    def stop(self):
        processes = self.endpoints + self.agents + self.entries + [self.store]
        for process in processes:
            process.child.terminate()
        for process in processes:
            try:
                process.child.wait(10)
            except subprocess.TimeoutExpired:
                process.child.kill()
        shutil.rmtree(self.folder)


def get(addr, path):
    with urllib.request.urlopen(f"http://{addr}{path}") as reply:
        return reply.read().decode()


def post(addr, path, body):
    request = urllib.request.Request(f"http://{addr}{path}", json.dumps(body).encode(), method="POST")
    with urllib.request.urlopen(request) as reply:
        return reply.read().decode()
