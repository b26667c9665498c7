"""Compares placement policies, without and with faults, as Markdown tables."""

import json
import sys
import time

from system import System, get, post

AGENTS = 11
# First attempts need a seal round until the agents were members for this long.
SETTLE_S = 36
PATCH_S = 1.5
POLICIES = {
    "carried load, response": {"placement.policy": "carried_load", "placement.weigh": "response",
                               "limits.queue": "16"},
    "carried load, messages": {"placement.policy": "carried_load", "placement.weigh": "messages",
                               "limits.queue": "8"},
    "two choices": {"placement.policy": "two_choices", "limits.queue": "10000"},
    "uniform (baseline)": {"placement.policy": "uniform", "limits.queue": "10000"},
}
LOADS = ((10, 50), (10, 80), (10, 95), (1, 80), (50, 80))


def apply(system, values):
    addr = system.entries[0].http
    base = json.loads(get(addr, "/v1/config"))["version"]
    post(addr, "/v1/config", {"id": f"policy-{base}", "base": base, "set": values})
    time.sleep(PATCH_S)


def run(system, name, tasks, load, *options):
    result = system.load(
        "--utilization", str(load), "--slots", str(8 * AGENTS), "--tasks", str(tasks),
        "--run-ms", "50..1000", "--duration", "5s", "--deadline-ms", "20000", *options)
    ratio, messages = result["response_over_ideal"], result["messages"]
    verdicts = " ".join(f"{row['verdict']} {row['reason']} {row['jobs']}".replace("  ", " ")
                        for row in result["verdicts"])
    print(f"| {name} | {tasks} | {load} % | {ratio['p50']:.2f} | {ratio['p99']:.2f} "
          f"| {ratio['p99.9']:.2f} | {messages['per_task']:.2f} | {messages['wasted_percent']:.1f} % "
          f"| {verdicts} |", flush=True)


def compare(system):
    for name, values in POLICIES.items():
        apply(system, values)
        for tasks, load in LOADS:
            run(system, name, tasks, load)
        run(system, f"{name}, burst x3", 10, 50,
            "--burst", "3", "--burst-every", "2s", "--burst-for", "1s")


def provoke(system):
    worker = system.endpoints[3].words[-1]
    for name in ("carried load, response", "carried load, messages", "uniform (baseline)"):
        apply(system, POLICIES[name])
        for fault, addr, switch in (("store down", system.store_addr, "outage"),
                                    ("one worker fails all tasks", worker, "fail"),
                                    ("one worker frozen", worker, "hang")):
            post(addr, "/control", {switch: True})
            run(system, f"{name}, {fault}", 10, 60)
            post(addr, "/control", {switch: False})
            time.sleep(4)


def main():
    system = System()
    try:
        for _ in range(AGENTS):
            system.add_agent()
        for agent in system.agents:
            system.add_endpoint(agent)
        time.sleep(SETTLE_S)
        (provoke if "faults" in sys.argv else compare)(system)
    finally:
        system.stop()


if __name__ == "__main__":
    main()
