"""Prints the cost of control without load for several numbers of agents, as a Markdown table."""

import time

from system import System, get

SETTLE_S = 9
MEASURE_S = 10
SAMPLED_AGENTS = 10


def sample(processes):
    return [(process.cpu_seconds(),
             process.metric("fulmarpond_link_sent_bytes")
             + process.metric("fulmarpond_link_received_bytes")) for process in processes]


def cost(processes, before, after, seconds):
    """Returns the mean processor share in percent, memory in MB and traffic in KB/s."""
    number = len(processes)
    cpu = sum(b[0] - a[0] for a, b in zip(before, after)) / seconds * 100 / number
    traffic = sum(b[1] - a[1] for a, b in zip(before, after)) / seconds / 1024 / number
    memory = sum(process.memory_mb() for process in processes) / number
    return f"{cpu:.2f} | {memory:.1f} | {traffic:.2f}"


def main():
    system = System()
    try:
        print("| agents | entry CPU % | entry MB | entry KB/s | agent CPU % | agent MB | agent KB/s |")
        for number in (11, 50, 100, 200):
            while len(system.agents) < number:
                system.add_agent()
            time.sleep(SETTLE_S)
            agents = system.agents[:SAMPLED_AGENTS]
            groups = [system.entries, agents]
            before = [sample(group) for group in groups]
            start = time.monotonic()
            time.sleep(MEASURE_S)
            after = [sample(group) for group in groups]
            seconds = time.monotonic() - start
            costs = [cost(*group, seconds) for group in zip(groups, before, after)]
            print(f"| {number} | {costs[0]} | {costs[1]} |", flush=True)
        print("calls of the key-value service:", get(system.store_addr, "/control/calls"))
    finally:
        system.stop()


if __name__ == "__main__":
    main()
