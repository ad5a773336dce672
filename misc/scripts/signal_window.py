#!/usr/bin/env python3
"""Measures for how long after its start a node is ended by SIGHUP, and whether one that stops is.

Usage: signal_window.py [--plays N] [--delays MS,...] [--ignored] PROGRAM SETTINGS [gateway|serve]
--ignored starts the node as a supervisor does that ignores SIGHUP until the node has its handlers.
"""
import argparse
import os
import signal
import subprocess
import time

STOP_LIMIT_S = 30.0


def ignore_reload():
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def start(arguments):
    command = [arguments.program, arguments.command, "--settings", arguments.settings]
    # Returns once exec has succeeded.
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, preexec_fn=ignore_reload if arguments.ignored else None)


def signal_start(arguments, delay_s):
    node = start(arguments)
    due = time.perf_counter() + delay_s
    while time.perf_counter() < due:
        pass
    node.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    ended = node.poll()
    if ended is None:
        node.kill()
    node.wait()
    return ended == -signal.SIGHUP


def signal_stop(arguments):
    node = start(arguments)
    time.sleep(1.0)
    node.send_signal(signal.SIGTERM)
    give_up_at = time.perf_counter() + STOP_LIMIT_S
    while node.poll() is None and time.perf_counter() < give_up_at:
        os.kill(node.pid, signal.SIGHUP)
        time.sleep(0.0002)
    if node.poll() is None:
        node.kill()
        node.wait()
        return "still running"
    return f"status {node.returncode}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--delays", default="0,0.5,1,1.5,2,3,4,8,15,30,60")
    parser.add_argument("--ignored", action="store_true")
    parser.add_argument("program")
    parser.add_argument("settings")
    parser.add_argument("command", nargs="?", default="gateway", choices=["gateway", "serve"])
    arguments = parser.parse_args()
    for delay in arguments.delays.split(","):
        ended = sum(signal_start(arguments, float(delay) / 1000) for _ in range(arguments.plays))
        print(f"SIGHUP {delay} ms after exec: {ended} of {arguments.plays} ended by it", flush=True)
    ends = [signal_stop(arguments) for _ in range(5)]
    print("SIGTERM, then SIGHUP each 0.2 ms until it is gone: " + ", ".join(ends))


if __name__ == "__main__":
    main()
