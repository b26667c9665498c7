"""Prints the cost of a task start at several rates, with empty tasks in jobs of 10."""

import time

from system import System

AGENTS = 11
# First attempts need a seal round until the agents were members for this long.
SETTLE_S = 36
RATES = (10, 40, 100, 250, 500)
SECONDS = 6


def sample(processes):
    return [(process.cpu_seconds(), process.metric("fulmarpond_link_sent_bytes"))
            for process in processes]


def difference(before, after, field):
    return sum(b[field] - a[field] for a, b in zip(before, after))


def main():
    system = System()
    try:
        for _ in range(AGENTS):
            system.add_agent()
        for agent in system.agents:
            system.add_endpoint(agent)
        time.sleep(SETTLE_S)
        print("| starts/s | entry us/start | agent us/start | agent link bytes/start "
              "| entry link bytes/start | entry MB | agent MB | p50 ms | p99 ms | messages/task |")
        for rate in RATES:
            before = sample(system.entries), sample(system.agents)
            result = system.load("--rate", str(rate), "--tasks", "10", "--run-ms", "0..0",
                                 "--duration", f"{SECONDS}s", "--clients", "400")
            after = sample(system.entries), sample(system.agents)
            tasks = result["answered_tasks"] or 1
            cpu = [difference(before[i], after[i], 0) / tasks * 1e6 for i in (0, 1)]
            sent = [difference(before[i], after[i], 1) / tasks for i in (0, 1)]
            memory = [sum(p.memory_mb() for p in group) / len(group)
                      for group in (system.entries, system.agents)]
            response = result["response_ms"]
            print(f"| {tasks / SECONDS:.0f} | {cpu[0]:.0f} | {cpu[1]:.0f} | {sent[1]:.0f} "
                  f"| {sent[0]:.0f} | {memory[0]:.1f} | {memory[1]:.1f} | {response['p50']:.1f} "
                  f"| {response['p99']:.1f} | {result['messages']['per_task']:.2f} |", flush=True)
    finally:
        system.stop()


if __name__ == "__main__":
    main()
